import type { Readable } from "node:stream";

/** Where an endpoint is reached. */
export interface EndpointTarget {
  id: string;
  /** `ip:port`. */
  address: string;
}

/** Priority of work at an endpoint; engines serve `share` first. */
export type WorkPriority = "share" | "spare";

/** One chat to run. */
export interface ChatCall {
  requestId: string;
  /** Request body, already checked, as JSON text. */
  body: string;
  priority: WorkPriority;
  /** Key under which the endpoint reports cache events, hexadecimal. */
  chatKey: string;
}

/** One server-sent event of a streamed answer. */
export interface StreamEvent {
  /** Place in the answer, from 0 without gaps. */
  sequence: number;
  data: string;
}

/** Tokens of one answer, as the endpoint counts them. */
export interface Usage {
  promptTokens: number;
  completionTokens: number;
  /** Prompt tokens served from the endpoint's prefix cache. */
  cachedTokens: number;
}

/** Answer to a chat that was asked for whole. */
export interface WholeAnswer {
  status: number;
  body: string;
}

/** State an endpoint reports of itself. */
export type EndpointState = "starting" | "ready" | "draining";

/** What an endpoint says of its load; may be some seconds old. */
export interface LoadReport {
  /** Changes whenever the endpoint's process starts anew. */
  bootId: string;
  state: EndpointState;
  inFlight: number;
  /** Requests completed since `bootId` began. */
  completed: number;
  /** What the endpoint serves now, as the last order left it. */
  loaded: LoadedState;
  /** Highest fencing number accepted; 0 where none was or none is checked. */
  fencingNumber: number;
  /** Cache events after the sequence number that was asked for. */
  cacheEvents: readonly CacheEvent[];
}

/** What an endpoint has loaded. */
export interface LoadedState {
  model: string;
  version: string;
  adapters: readonly string[];
  role: string;
}

/** One change of an endpoint's prefix cache; late, and some are lost. */
export interface CacheEvent {
  sequence: number;
  kind: "stored" | "evicted";
  /** Chat key as sent with the chat, hexadecimal. */
  chatKey: string;
}

/** A call to a plain service. */
export interface PlainCall {
  requestId: string;
  method: string;
  /** Path and query, starting with `/`. */
  path: string;
  headers: Record<string, string>;
  /** Request body; null for none. */
  body: Readable | string | null;
  /** The call must not be sent twice. */
  sendOnce: boolean;
}

/** Answer of a plain service. */
export interface PlainAnswer {
  status: number;
  headers: Record<string, string | string[]>;
  body: Readable;
}

/** An order to an endpoint: the wanted end state, under a fencing number. */
export interface EndpointOrder {
  orderId: string;
  fencingNumber: number;
  /** The endpoint ignores the order after this many milliseconds. */
  validMs: number;
  wanted: LoadedState;
}

/** Speaks the contract in docs/ENDPOINTS.md. */
export abstract class EndpointClient {
  /**
   * Runs a chat and yields its events in order, without duplicates, through
   * the last; resumes a broken stream. `onStart` is called once the endpoint
   * has accepted the request.
   *
   * @throws EndpointError before the first event when nothing was delivered;
   *   `answer_incomplete` when the rest of a started answer is lost.
   */
  abstract streamChat(
    target: EndpointTarget,
    call: ChatCall,
    options: { signal: AbortSignal },
  ): AsyncIterable<StreamEvent>;

  /** Runs a chat and returns the whole answer. */
  abstract wholeChat(
    target: EndpointTarget,
    call: ChatCall,
    options: { signal: AbortSignal },
  ): Promise<WholeAnswer>;

  /** Calls a plain service; resolves when the answer's head has arrived. */
  abstract callPlain(
    target: EndpointTarget,
    call: PlainCall,
    options: { signal: AbortSignal },
  ): Promise<PlainAnswer>;

  /** Reads the load report and the cache events after a sequence number. */
  abstract readLoad(
    target: EndpointTarget,
    options: { eventsAfter: number; timeoutMs: number },
  ): Promise<LoadReport>;

  /** Gives an order; resolves to false if its fencing number was refused. */
  abstract giveOrder(
    target: EndpointTarget,
    order: EndpointOrder,
    options: { timeoutMs: number },
  ): Promise<boolean>;

  /** Copies the cached context of chats from one endpoint to another. */
  abstract moveCache(
    options: {
      from: EndpointTarget;
      to: EndpointTarget;
      chatKeys: readonly string[];
      timeoutMs: number;
    },
  ): Promise<number>;

  /** Closes all connections. */
  abstract close(): Promise<void>;
}
