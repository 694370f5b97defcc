import { Buffer } from "node:buffer";
import { EventNumbering } from "./event_numbering.ts";
import { GrowingBuffer } from "./growing_buffer.ts";
import { lastEventEnd, TAIL_BYTES } from "./sse_boundary_tracker.ts";

const ID_LINE = /(?:^|[\r\n])id: ?([^\r\n]*)/g;
const EMPTY = Buffer.alloc(0);

/**
 * Splits a stream of server-sent events at event boundaries and buffers the
 * incomplete last event, so that another endpoint can resume the stream after
 * a complete event. Withholds events that do not follow those before.
 */
export class SseFramer {
  readonly #partial = new GrowingBuffer();
  #lastEventId: string | undefined;
  #isOutOfOrder = false;
  readonly #numbering: EventNumbering;

  /** `lastEventId` is that of the event after which a client resumes the stream,
   * if it does. */
  constructor(lastEventId?: string) {
    this.#lastEventId = lastEventId;
    this.#numbering = new EventNumbering(lastEventId);
  }

  /** Whether events were withheld as they do not follow those before. */
  get isOutOfOrder(): boolean {
    return this.#isOutOfOrder;
  }

  /** Id of the last complete event. */
  get lastEventId(): string | undefined {
    return this.#lastEventId;
  }

  /** Bytes of the incomplete event. */
  get openEventBytes(): number {
    return this.#partial.length;
  }

  /** Appends received bytes; returns the events that are now complete. */
  push(chunk: Buffer): Buffer {
    const complete = this.#takeComplete(chunk);
    if (complete.length === 0) {
      return EMPTY;
    }
    const ids = [...complete.toString("latin1").matchAll(ID_LINE)]
      .map(([, id]) => id ?? "");
    if (this.#isOutOfOrder || !this.#numbering.accept(ids)) {
      this.#isOutOfOrder = true;
      return EMPTY;
    }
    this.#lastEventId = ids.at(-1) ?? this.#lastEventId;
    return complete;
  }

  /** Returns and clears the buffered bytes; called when the response is
   * complete. */
  flush(): Buffer {
    return this.#partial.take();
  }

  /** Discards the incomplete event before another endpoint resumes the
   * stream. */
  beginContinuation(): void {
    this.#partial.take();
    this.#isOutOfOrder = false;
    this.#numbering.beginContinuation();
  }

  /** Returns the bytes up to the end of the last complete event and keeps those
   * behind it. Searches only bytes that were not searched before. */
  #takeComplete(chunk: Buffer): Buffer {
    const heldBytes = this.#partial.length;
    let data = chunk;
    let end: number;
    if (heldBytes === 0) {
      end = lastEventEnd(chunk);
    } else {
      this.#partial.append(chunk);
      const searchStart = Math.max(0, heldBytes - TAIL_BYTES);
      end = lastEventEnd(this.#partial.tail(searchStart));
      if (end < 0) {
        return EMPTY;
      }
      end += searchStart;
      data = this.#partial.take();
    }
    this.#partial.append(data.subarray(Math.max(0, end)));
    return data.subarray(0, Math.max(0, end));
  }
}
