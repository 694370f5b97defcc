import { Buffer } from "node:buffer";
import type { ServerResponse } from "node:http";
import { abortResponse } from "@limpetshed/base";
import { errorBody, type RouterError } from "@limpetshed/errors";
import type { MemoryBudget, MemoryClaim } from "./memory_budget.ts";

const OK_STATUS = 200;

/** Options of {@linkcode ResponseWriter}. */
export interface ResponseWriterOptions {
  res: ServerResponse;
  /** Whether this node is shutting down; responses then disable keep-alive. */
  isStopping: () => boolean;
  /** Charged for what the client does not read; not charged if undefined. */
  memory?: MemoryBudget;
}

/** Writes the response to a client: a relayed response, an error, or an abort
 * that the client can tell from a complete response. */
export class ResponseWriter {
  readonly #res: ServerResponse;
  readonly #isStopping: () => boolean;
  #unflushedWrites = 0;
  #isEnding = false;
  #isEventStream = false;
  readonly #memory: MemoryBudget | undefined;
  /** Bytes that wait for the client. */
  #unread: MemoryClaim | undefined;

  constructor({ res, isStopping, memory }: ResponseWriterOptions) {
    this.#res = res;
    this.#memory = memory;
    this.#isStopping = isStopping;
    res.sendDate = false;
  }

  /** Whether the response head has been sent. */
  get isHeadSent(): boolean {
    return this.#res.headersSent;
  }

  /** Whether a response can still be written. */
  get isWritable(): boolean {
    return !this.#res.destroyed && !this.#res.writableEnded;
  }

  /** Whether the client reads chunks, which HTTP/1.0 does not know. */
  get supportsChunks(): boolean {
    return this.#res.req.httpVersion !== "1.0";
  }

  /** Whether the head of a stream of events has been sent, which another endpoint
   * may go on with. */
  get isEventStream(): boolean {
    return this.#isEventStream;
  }

  /** Sends the head of an endpoint's response. */
  sendHead(
    status: number,
    headers: string[],
    { isEventStream = false } = {},
  ): void {
    this.#isEventStream = isEventStream && status === OK_STATUS;
    if (this.#isStopping()) {
      this.#res.shouldKeepAlive = false;
    }
    this.#res.writeHead(status, headers);
    this.#res.flushHeaders();
  }

  /** Writes body bytes; returns false if the write buffer is full and writing
   * should pause until `onDrain`. */
  write(chunk: Buffer): boolean {
    this.#unflushedWrites += 1;
    const hasRoom = this.#res.write(chunk, () => {
      this.#unflushedWrites -= 1;
      if (this.#isEnding && this.#unflushedWrites === 0) {
        this.#res.end();
      }
    });
    if (!hasRoom) {
      this.#chargeUnread();
    }
    return hasRoom;
  }

  /** Charges what waits for a slow reader, whose response is cut off when the memory
   * is needed for others. */
  #chargeUnread(): void {
    if (this.#memory === undefined) {
      return;
    }
    let unread = this.#unread;
    if (unread === undefined) {
      unread = this.#memory.open();
      this.#unread = unread;
      const release = () => {
        this.#unread?.close();
        this.#unread = undefined;
        this.#res.off("drain", release).off("close", release);
      };
      unread.onEvict(() => {
        release();
        this.abort();
      });
      this.#res.once("drain", release).once("close", release);
    }
    unread.charge(Math.max(0, this.#res.writableLength - unread.bytes));
  }

  /** Calls `fn` once the write buffer has drained. */
  onDrain(fn: () => void): void {
    this.#res.once("drain", fn);
  }

  /** Ends a complete response once it is flushed: Node.js takes a connection
   * whose response has ended for idle, and closes it during a shutdown. */
  end(): void {
    this.#isEnding = true;
    if (this.#unflushedWrites === 0) {
      this.#res.end();
    }
  }

  /** Resolves when the response is flushed or its connection has closed. */
  async closed(): Promise<void> {
    if (!this.#res.writableFinished && !this.#res.destroyed) {
      await new Promise<void>((resolve) => {
        this.#res.once("finish", resolve);
        this.#res.once("close", resolve);
      });
    }
  }

  /** Destroys the connection, so that a partial response cannot be taken for a
   * complete one. */
  abort(): void {
    abortResponse(this.#res);
  }

  /** Responds with an error, or aborts if the response has already started. With
   * `keepOpen` the caller ends the response, after which its connection closes. */
  sendError(
    err: RouterError,
    { requestId, closeConnection = false, keepOpen = false }: {
      requestId?: string;
      closeConnection?: boolean;
      keepOpen?: boolean;
    } = {},
  ): void {
    if (this.isHeadSent || !this.isWritable) {
      this.abort();
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
    if (closeConnection || this.#isStopping()) {
      this.#res.shouldKeepAlive = false;
    }
    this.#res.writeHead(err.status, headers);
    if (keepOpen) {
      this.#res.write(body);
    } else {
      this.#res.end(body);
    }
  }
}
