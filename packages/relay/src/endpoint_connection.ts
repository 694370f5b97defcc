import type { Buffer } from "node:buffer";
import type { IncomingHttpHeaders } from "node:http";
import * as net from "node:net";
import { type Clock, splitHostPort } from "@limpetshed/base";
import { Client, type Dispatcher } from "undici";

/** A request as it goes to an endpoint. */
export interface OutgoingRequest {
  method: string;
  path: string;
  /** Names and values in turn. */
  headers: string[];
  body: Buffer | null;
}

/** The start of an endpoint's answer. */
export interface AnswerHead {
  status: number;
  headers: IncomingHttpHeaders;
  /** Names and values in turn. */
  rawHeaders: string[];
}

/** Steers an exchange that is under way. */
export interface ExchangeControl {
  pause(): void;
  resume(): void;
  /** Ends the exchange and its connection. */
  abort(): void;
}

/** Receives one exchange; after `onEnd` or `onError` nothing more comes. */
export interface ExchangeHandler {
  /** The first byte of the request is about to be written. */
  onSend(): void;
  onHead(head: AnswerHead, control: ExchangeControl): void;
  onData(chunk: Buffer, control: ExchangeControl): void;
  /** The answer is complete. */
  onEnd(): void;
  onError(err: Error): void;
}

/** Options of {@linkcode EndpointConnection}. */
export interface EndpointConnectionOptions {
  clock: Clock;
  /** `ip:port`. */
  address: string;
  /** Longest time for the connection to open, milliseconds. */
  connectTimeoutMs: number;
  onClose: () => void;
}

/** Idle time after which the operating system probes a connection. */
const KEEP_ALIVE_PROBE_MS = 1_000;
/** Connections idle for longer are closed; within what endpoints allow. */
const IDLE_TIMEOUT_MS = 4_000;
/** An endpoint's hint is cut by this much, for what is on its way. */
const IDLE_HINT_MARGIN_MS = 1_000;
/** Longer hints are not used. */
const MAX_IDLE_HINT_MS = 30_000;
/** Largest header block of an answer. */
const MAX_ANSWER_HEADER_BYTES = 32_768;

/** One connection to an endpoint; carries one exchange at a time. */
export class EndpointConnection {
  readonly #options: EndpointConnectionOptions;
  readonly #client: Client;
  #socketError: Error | undefined;
  #lastUsedMs: number;
  #uses = 0;
  #isClosed = false;

  constructor(options: EndpointConnectionOptions) {
    this.#options = options;
    this.#lastUsedMs = options.clock.monotonicMs();
    this.#client = new Client(`http://${options.address}`, {
      pipelining: 1,
      // Answers may take as long as the caller waits; that limit is the
      // relay's.
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: IDLE_TIMEOUT_MS,
      keepAliveTimeoutThreshold: IDLE_HINT_MARGIN_MS,
      keepAliveMaxTimeout: MAX_IDLE_HINT_MS,
      maxHeaderSize: MAX_ANSWER_HEADER_BYTES,
      connect: (_opts, done) => this.#open(done),
    });
    this.#client.on("disconnect", () => this.close());
    this.#client.on("connectionError", () => this.close());
  }

  /** Whether its exchange is not the first it carries. */
  get isReused(): boolean {
    return this.#uses > 1;
  }

  /** Whether it can carry an exchange. */
  get isOpen(): boolean {
    return !this.#isClosed;
  }

  /** Milliseconds since its last exchange. */
  get idleMs(): number {
    return this.#options.clock.monotonicMs() - this.#lastUsedMs;
  }

  /** Error that ended the connection, if one did. */
  get socketError(): Error | undefined {
    return this.#socketError;
  }

  /** Sends a request. */
  exchange(req: OutgoingRequest, handler: ExchangeHandler): void {
    this.#uses += 1;
    this.#client.dispatch(
      {
        method: req.method,
        path: req.path,
        headers: req.headers,
        body: req.body,
      },
      this.#dispatchHandler(handler),
    );
  }

  /** Closes the connection; an exchange on it fails. */
  close(): void {
    if (!this.#isClosed) {
      this.#isClosed = true;
      this.#client.destroy().catch(() => undefined);
      this.#options.onClose();
    }
  }

  #open(done: (...args: [null, net.Socket] | [Error, null]) => void): void {
    const { address, connectTimeoutMs, clock } = this.#options;
    const socket = net.connect({
      ...splitHostPort(address),
      noDelay: true,
      keepAlive: true,
      keepAliveInitialDelay: KEEP_ALIVE_PROBE_MS,
    });
    const timer = clock.setTimer(
      connectTimeoutMs,
      () => socket.destroy(new Error("connecting took too long")),
    );
    const onError = (err: Error) => {
      timer.cancel();
      done(err, null);
    };
    socket.once("error", onError);
    socket.once("connect", () => {
      timer.cancel();
      socket.off("error", onError);
      // Before the client's own listener, which takes a reset after the last
      // byte of an answer without a length for its end.
      socket.on("error", (err) => {
        this.#socketError = err;
      });
      socket.on("end", () => {
        // The event loop reports a reset that comes right behind bytes as an
        // orderly end; only then does the socket no longer have a peer.
        if (socket.remoteAddress === undefined) {
          this.#socketError = new Error("reset by the endpoint");
        }
      });
      done(null, socket);
    });
  }

  #dispatchHandler(handler: ExchangeHandler): Dispatcher.DispatchHandler {
    return {
      onRequestStart: () => handler.onSend(),
      onResponseStart: (controller, status, headers) => {
        if (status < 200) {
          return;
        }
        const raw = (controller.rawHeaders ?? []) as Buffer[];
        const rawHeaders = raw.map((part) => part.toString("latin1"));
        handler.onHead({ status, headers, rawHeaders }, controlOf(controller));
      },
      onResponseData: (controller, chunk) =>
        handler.onData(chunk, controlOf(controller)),
      onResponseEnd: () => {
        this.#lastUsedMs = this.#options.clock.monotonicMs();
        handler.onEnd();
      },
      onResponseError: (_controller, err) => handler.onError(err),
    };
  }
}

function controlOf(controller: Dispatcher.DispatchController): ExchangeControl {
  return {
    pause: () => controller.pause(),
    resume: () => controller.resume(),
    abort: () => controller.abort(new Error("no longer wanted")),
  };
}
