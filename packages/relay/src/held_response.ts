import { Buffer } from "node:buffer";
import type { Clock, Timer } from "@limpetshed/base";
import type { ResponseWriter } from "./response_writer.ts";

/** Options of {@linkcode HeldResponse}. */
export interface HeldResponseOptions {
  clock: Clock;
  writer: ResponseWriter;
  status: number;
  /** Names and values alternating. */
  headers: string[];
  /** Called before anything is passed on. */
  onRelease?: () => void;
  maxBytes?: number;
  maxHoldMs?: number;
}

/** Far above the responses of plain services, and little enough to be buffered
 * for each request. */
const MAX_BYTES = 65_536;
/** Limits how long the start of a slow response is delayed; below the target
 * latency of plain services. */
const MAX_HOLD_MS = 100;

/**
 * Holds a response back until it is complete, so that the client never sees one
 * that breaks off and the request can be retried. A large or slow response is
 * passed on as it comes.
 */
export class HeldResponse {
  readonly #options: HeldResponseOptions;
  readonly #maxBytes: number;
  readonly #timer: Timer;
  #chunks: Buffer[] = [];
  #bytes = 0;
  #state: "held" | "released" | "discarded" = "held";

  constructor(options: HeldResponseOptions) {
    this.#options = options;
    const { clock, maxBytes = MAX_BYTES, maxHoldMs = MAX_HOLD_MS } = options;
    this.#maxBytes = maxBytes;
    this.#timer = clock.setTimer(maxHoldMs, () => this.#release());
  }

  /** Takes body bytes; returns false if writing should pause until the writer
   * has drained. */
  write(chunk: Buffer): boolean {
    if (this.#state === "released") {
      return this.#options.writer.write(chunk);
    }
    this.#chunks.push(chunk);
    this.#bytes += chunk.length;
    if (this.#bytes <= this.#maxBytes) {
      return true;
    }
    return this.#release();
  }

  /** Passes a complete response on. */
  end(): void {
    this.#release();
    this.#options.writer.end();
  }

  /** Discards what has not been passed on. */
  discard(): void {
    this.#timer.cancel();
    if (this.#state === "held") {
      this.#state = "discarded";
      this.#chunks = [];
    }
  }

  #release(): boolean {
    this.#timer.cancel();
    if (this.#state !== "held") {
      return true;
    }
    this.#state = "released";
    const { writer, status, headers, onRelease } = this.#options;
    onRelease?.();
    writer.sendHead(status, headers);
    const body = Buffer.concat(this.#chunks);
    this.#chunks = [];
    return body.length === 0 || writer.write(body);
  }
}
