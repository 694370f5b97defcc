import { Buffer } from "node:buffer";
import { lastEventEnd } from "./sse_boundary_tracker.ts";

const ID_LINE = /(?:^|[\r\n])id: ?([^\r\n]*)/g;
const EMPTY = Buffer.alloc(0);

/**
 * Splits a stream of server-sent events at event boundaries and buffers the
 * incomplete last event, so that another endpoint can resume the stream after
 * a complete event.
 */
export class SseFramer {
  #partial: Buffer = EMPTY;
  #lastEventId: string | undefined;

  /** Id of the last complete event. */
  get lastEventId(): string | undefined {
    return this.#lastEventId;
  }

  /** Appends received bytes; returns the events that are now complete. */
  push(chunk: Buffer): Buffer {
    const data = this.#partial.length === 0
      ? chunk
      : Buffer.concat([this.#partial, chunk]);
    const end = lastEventEnd(data);
    if (end < 0) {
      this.#partial = data;
      return EMPTY;
    }
    this.#partial = data.subarray(end);
    const complete = data.subarray(0, end);
    for (const [, id] of complete.toString("latin1").matchAll(ID_LINE)) {
      this.#lastEventId = id;
    }
    return complete;
  }

  /** Returns and clears the buffered bytes; called when the response is
   * complete. */
  flush(): Buffer {
    const partial = this.#partial;
    this.#partial = EMPTY;
    return partial;
  }

  /** Discards the incomplete event before another endpoint resumes the
   * stream. */
  discardPartial(): void {
    this.#partial = EMPTY;
  }
}
