import type { Readable } from "node:stream";

/** Id and network address of an endpoint. */
export interface EndpointTarget {
  id: string;
  /** `ip:port`. */
  address: string;
}

/** Scheduling priority at an endpoint; engines serve `share` first. */
export type WorkPriority = "share" | "spare";

/** A chat completion request. */
export interface ChatCall {
  requestId: string;
  /** Validated request body as JSON text. */
  body: string;
  priority: WorkPriority;
  /** Key of the chat in cache events, hexadecimal. */
  chatKey: string;
}

/** A server-sent event of a streamed response. */
export interface StreamEvent {
  /** Position in the response, starting at 0 without gaps. */
  sequence: number;
  data: string;
}

/** Token counts of one response, as reported by the endpoint. */
export interface TokenUsage {
  promptTokens: number;
  completionTokens: number;
  /** Prompt tokens read from the endpoint's prefix cache. */
  cachedTokens: number;
}

/** Response to a non-streaming chat. */
export interface ChatResponse {
  status: number;
  body: string;
}

/** Lifecycle state that an endpoint reports. */
export type EndpointState = "starting" | "ready" | "draining";

/** Load reported by an endpoint; may be several seconds old. */
export interface LoadReport {
  /** Changes whenever the endpoint process restarts. */
  bootId: string;
  state: EndpointState;
  inFlight: number;
  /** Requests completed since the process of `bootId` started. */
  completed: number;
  /** Model and adapters currently served, as set by the last order. */
  loaded: LoadedState;
  /** Highest accepted fencing number; 0 if none or if not checked. */
  fencingNumber: number;
  /** Cache events after the requested sequence number. */
  cacheEvents: readonly CacheEvent[];
}

/** Model, adapters and role that an endpoint has loaded. */
export interface LoadedState {
  model: string;
  version: string;
  adapters: readonly string[];
  role: string;
}

/** A change of an endpoint's prefix cache; may be delayed or lost. */
export interface CacheEvent {
  sequence: number;
  kind: "stored" | "evicted";
  /** Chat key that was sent with the request, hexadecimal. */
  chatKey: string;
}

/** A request to a plain HTTP service. */
export interface PlainCall {
  requestId: string;
  method: string;
  /** Path and query, starting with `/`. */
  path: string;
  headers: Record<string, string>;
  /** Request body; null for none. */
  body: Readable | string | null;
  /** The request is sent at most once, on a connection of its own. */
  sendOnce: boolean;
}

/** Response of a plain HTTP service. */
export interface PlainResponse {
  status: number;
  headers: Record<string, string | string[]>;
  body: Readable;
}

/** Desired state for an endpoint, protected by a fencing number. */
export interface EndpointOrder {
  orderId: string;
  fencingNumber: number;
  /** Time in milliseconds after which the endpoint ignores the order. */
  validMs: number;
  wanted: LoadedState;
}

/** Client for the endpoint protocol described in docs/ENDPOINTS.md. */
export abstract class EndpointClient {
  /**
   * Runs a chat and yields its events in order and without duplicates until
   * the response is complete; resumes interrupted streams.
   *
   * @throws EndpointError if the request fails before the first event;
   *   `answer_incomplete` if the rest of a started response is lost.
   */
  abstract streamChat(
    target: EndpointTarget,
    call: ChatCall,
    options: { signal: AbortSignal },
  ): AsyncIterable<StreamEvent>;

  /** Runs a chat without streaming and returns the complete response. */
  abstract runChat(
    target: EndpointTarget,
    call: ChatCall,
    options: { signal: AbortSignal },
  ): Promise<ChatResponse>;

  /** Calls a plain service; resolves when the response headers arrive. */
  abstract callPlain(
    target: EndpointTarget,
    call: PlainCall,
    options: { signal: AbortSignal },
  ): Promise<PlainResponse>;

  /** Fetches the load report with the cache events after `eventsAfter`. */
  abstract fetchLoadReport(
    target: EndpointTarget,
    options: { eventsAfter: number; timeoutMs: number },
  ): Promise<LoadReport>;

  /** Sends an order; resolves to false if the endpoint rejects it, as it does
   * for a stale fencing number. */
  abstract sendOrder(
    target: EndpointTarget,
    order: EndpointOrder,
    options: { timeoutMs: number },
  ): Promise<boolean>;

  /** Copies the cached context of chats between endpoints; returns the count
   * reported by `to`. */
  abstract copyCache(
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
