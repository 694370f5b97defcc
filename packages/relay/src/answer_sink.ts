import { Buffer } from "node:buffer";
import type { ServerResponse } from "node:http";
import { errorBody, type RouterError } from "@limpetshed/errors";

/** Options of {@linkcode AnswerSink}. */
export interface AnswerSinkOptions {
  res: ServerResponse;
  /** Whether this node is stopping, so that connections are not kept. */
  isStopping: () => boolean;
}

/** The answer to one caller: whole, refused, or visibly broken off. */
export class AnswerSink {
  readonly #res: ServerResponse;
  readonly #isStopping: () => boolean;

  constructor({ res, isStopping }: AnswerSinkOptions) {
    this.#res = res;
    this.#isStopping = isStopping;
    res.sendDate = false;
  }

  /** Whether the head has been sent. */
  get isStarted(): boolean {
    return this.#res.headersSent;
  }

  /** Whether the caller can still be answered. */
  get isOpen(): boolean {
    return !this.#res.destroyed && !this.#res.writableEnded;
  }

  /** Sends the head of an endpoint's answer. */
  start(status: number, headers: string[]): void {
    if (this.#isStopping()) {
      this.#res.shouldKeepAlive = false;
    }
    this.#res.writeHead(status, headers);
    this.#res.flushHeaders();
  }

  /** Sends bytes; returns false when the caller reads too slowly. */
  write(chunk: Buffer): boolean {
    return this.#res.write(chunk);
  }

  /** Calls `fn` once the caller has caught up. */
  onDrain(fn: () => void): void {
    this.#res.once("drain", fn);
  }

  /** Ends a complete answer. */
  end(): void {
    this.#res.end();
  }

  /** Ends an answer so that it cannot look complete. */
  break(): void {
    this.#res.destroy();
  }

  /** Answers with an error of this node's own. */
  refuse(
    err: RouterError,
    { requestId, closes = false }: { requestId?: string; closes?: boolean } =
      {},
  ): void {
    if (this.isStarted || !this.isOpen) {
      this.break();
      return;
    }
    const body = JSON.stringify(errorBody(err, { requestId }));
    const headers: Record<string, string | number> = {
      "content-type": "application/json",
      "content-length": Buffer.byteLength(body),
    };
    if (err.retryAfterMs !== undefined) {
      headers["retry-after"] = (err.retryAfterMs / 1_000).toFixed(2);
    }
    if (closes || this.#isStopping()) {
      this.#res.shouldKeepAlive = false;
    }
    this.#res.writeHead(err.status, headers);
    this.#res.end(body);
  }
}
