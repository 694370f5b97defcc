import type { Buffer } from "node:buffer";
import type { IncomingHttpHeaders } from "node:http";
import type * as net from "node:net";
import {
  type Clock,
  ConnectionGuard,
  limitInformationalResponses,
} from "@limpetshed/base";
import { Client, type Dispatcher } from "undici";
import type { EndpointConnector } from "./endpoint_connector.ts";

/** A request to send to an endpoint. */
export interface OutgoingRequest {
  method: string;
  path: string;
  /** Names and values alternating. */
  headers: string[];
  body: Buffer | null;
}

/** Status and headers of an endpoint's response. */
export interface ResponseHead {
  status: number;
  headers: IncomingHttpHeaders;
  /** Names and values alternating. */
  rawHeaders: string[];
}

/** Controls the flow of an exchange in progress. */
export interface ExchangeControl {
  pause(): void;
  resume(): void;
  /** Aborts the exchange and closes its connection. */
  abort(): void;
}

/** Receives the events of one exchange; `onEnd` or `onError` is the last. */
export interface ExchangeHandler {
  /** The first byte of the request is about to be written. */
  onSend(): void;
  onHead(head: ResponseHead, control: ExchangeControl): void;
  onData(chunk: Buffer, control: ExchangeControl): void;
  /** The response is complete. */
  onEnd(): void;
  onError(err: Error): void;
}

/** Options of {@linkcode EndpointConnection}. */
export interface EndpointConnectionOptions {
  clock: Clock;
  /** `ip:port`. */
  address: string;
  connector: EndpointConnector;
  /** Connect timeout, milliseconds. */
  connectTimeoutMs: number;
  /** Called with the monotonic time at which the connection was established,
   * before anything is sent; if it resolves to false, the connection fails. */
  verify?: (openedMs: number) => Promise<boolean>;
  /** Whether the first request may be sent, asked once the connection is
   * established; if not, the connection fails. */
  maySend?: () => boolean;
  /** Called once, when the connection is closed. */
  onClose: () => void;
}

/** Idle time after which a connection is closed; below the idle timeout of
 * endpoints. */
const KEEP_ALIVE_TIMEOUT_MS = 4_000;
/** Subtracted from the timeout in an endpoint's `keep-alive` header, to allow
 * for requests in transit. */
const KEEP_ALIVE_HINT_MARGIN_MS = 1_000;
/** Upper bound on the timeout from an endpoint's `keep-alive` header. */
const MAX_KEEP_ALIVE_MS = 30_000;
const MAX_RESPONSE_HEADER_BYTES = 32_768;
/** Bounds the memory for ids of refused requests. */
const MAX_REFUSED_IDS = 1_000;

/** An HTTP/1.1 connection to an endpoint; carries one exchange at a time. */
export class EndpointConnection {
  readonly #options: EndpointConnectionOptions;
  readonly #client: Client;
  readonly #dispatcher: Dispatcher;
  readonly #guard = new ConnectionGuard();
  readonly #closing = new AbortController();
  readonly #refusedIds = new Set<string>();
  #openedMs = Number.POSITIVE_INFINITY;
  #lastUsedMs: number;
  #exchangeCount = 0;
  #isClosed = false;
  #isDetour = false;
  #confirmEnd: () => Promise<boolean> = () => Promise.resolve(true);

  constructor(options: EndpointConnectionOptions) {
    this.#options = options;
    this.#lastUsedMs = options.clock.monotonicMs();
    this.#client = new Client(`http://${options.address}`, {
      pipelining: 1,
      // No timeouts here: the relay enforces the request's deadline.
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
      keepAliveTimeoutThreshold: KEEP_ALIVE_HINT_MARGIN_MS,
      keepAliveMaxTimeout: MAX_KEEP_ALIVE_MS,
      maxHeaderSize: MAX_RESPONSE_HEADER_BYTES,
      connect: (_opts, done) => this.#connect(done),
    });
    this.#dispatcher = this.#client.compose(
      this.#guard.interceptor(),
      limitInformationalResponses(),
    );
    this.#client.on("disconnect", () => this.close());
    this.#client.on("connectionError", () => this.close());
  }

  /** Whether the connection has carried an earlier exchange. */
  get isReused(): boolean {
    return this.#exchangeCount > 1;
  }

  /** Whether the connection can be used; true also while it is still being
   * established. */
  get isOpen(): boolean {
    return !this.#isClosed;
  }

  /** Whether it leads by way of another node; such a connection is not used
   * again. */
  get isDetour(): boolean {
    return this.#isDetour;
  }

  /** Resolves to whether the endpoint ended the connection, to be asked after its
   * end: another node on its way may have ended too. */
  confirmEnd(): Promise<boolean> {
    return this.#confirmEnd();
  }

  /** Monotonic time at which the connection was established; infinite before. */
  get openedMs(): number {
    return this.#openedMs;
  }

  /** Milliseconds since the last exchange completed. */
  get idleMs(): number {
    return this.#options.clock.monotonicMs() - this.#lastUsedMs;
  }

  /** Records that the endpoint refused a request on this connection. A refusal
   * that it writes once more could not be told from one of the same request
   * later, so the connection does not carry that request again. */
  recordRefusal(requestId: string): void {
    this.#refusedIds.add(requestId);
  }

  /** Whether this connection may carry a request. */
  mayCarry(requestId: string): boolean {
    return !this.#refusedIds.has(requestId);
  }

  /** Whether too many refusals are recorded to go on with this connection. */
  get isWornOut(): boolean {
    return this.#refusedIds.size >= MAX_REFUSED_IDS;
  }

  /** Sends a request and reports its response to `handler`. */
  exchange(req: OutgoingRequest, handler: ExchangeHandler): void {
    this.#exchangeCount += 1;
    this.#dispatcher.dispatch(
      {
        method: req.method,
        path: req.path,
        headers: req.headers,
        body: req.body,
      },
      this.#dispatchHandler(handler),
    );
  }

  /** Closes the connection; an exchange in progress fails. */
  close(): void {
    if (!this.#isClosed) {
      this.#isClosed = true;
      this.#closing.abort();
      this.#client.destroy().catch(() => undefined);
      this.#options.onClose();
    }
  }

  #connect(done: (...args: [null, net.Socket] | [Error, null]) => void): void {
    this.#openVerified().then(
      (socket) => done(null, socket),
      (err: Error) => done(err, null),
    );
  }

  async #openVerified(): Promise<net.Socket> {
    const { address, clock, connectTimeoutMs, connector, verify, maySend } =
      this.#options;
    const { socket, isDetour, confirmEnd } = await connector.connect({
      address,
      timeoutMs: connectTimeoutMs,
      signal: this.#closing.signal,
    });
    this.#isDetour = isDetour;
    this.#confirmEnd = confirmEnd ?? this.#confirmEnd;
    this.#openedMs = clock.monotonicMs();
    this.#guard.watch(socket);
    if (verify !== undefined && !await verify(this.#openedMs)) {
      socket.destroy();
      throw new Error("the endpoint may have been replaced");
    }
    if (maySend?.() === false) {
      socket.destroy();
      throw new Error("the endpoint wants no requests now");
    }
    return socket;
  }

  #dispatchHandler(handler: ExchangeHandler): Dispatcher.DispatchHandler {
    return {
      onRequestStart: () => handler.onSend(),
      onResponseStart: (controller, status, headers) => {
        if (status < 200) {
          return;
        }
        const rawParts = (controller.rawHeaders ?? []) as Buffer[];
        const rawHeaders = rawParts.map((part) => part.toString("latin1"));
        handler.onHead(
          { status, headers, rawHeaders },
          toExchangeControl(controller),
        );
      },
      onResponseData: (controller, chunk) =>
        handler.onData(chunk, toExchangeControl(controller)),
      onResponseEnd: () => {
        this.#lastUsedMs = this.#options.clock.monotonicMs();
        handler.onEnd();
      },
      onResponseError: (_controller, err) => handler.onError(err),
    };
  }
}

function toExchangeControl(
  controller: Dispatcher.DispatchController,
): ExchangeControl {
  return {
    pause: () => controller.pause(),
    resume: () => controller.resume(),
    abort: () => controller.abort(new Error("exchange aborted")),
  };
}
