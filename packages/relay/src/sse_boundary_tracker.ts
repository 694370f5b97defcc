import { Buffer } from "node:buffer";

/** Bytes kept to find an event end that is split between two chunks. */
export const TAIL_BYTES = 3;

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const COLON = 0x3a;

/** Position after the last complete event in `data`; -1 if there is none. An event
 * ends with two line endings of a kind. */
export function lastEventEnd(data: Buffer): number {
  // From the end, where the event of a chunk ends that holds a whole one.
  for (let index = data.length - 1; index > 0; index -= 1) {
    const byte = data[index];
    const previous = data[index - 1];
    const isLineFeedEnd = byte === LINE_FEED &&
      (previous === LINE_FEED ||
        (previous === CARRIAGE_RETURN && data[index - 2] === LINE_FEED &&
          data[index - 3] === CARRIAGE_RETURN));
    if (
      isLineFeedEnd ||
      (byte === CARRIAGE_RETURN && previous === CARRIAGE_RETURN)
    ) {
      return index + 1;
    }
  }
  return -1;
}

/** Follows a stream of server-sent events without buffering it. */
export class SseBoundaryTracker {
  #tail: Buffer = Buffer.alloc(0);
  #openEventBytes = 0;
  #hasEvents = false;
  #line: "empty" | "comment" | "field" = "empty";
  #hasOpenFields = false;
  #endedWithCarriageReturn = false;

  /** Bytes received since the end of the last complete event. */
  get openEventBytes(): number {
    return this.#openEventBytes;
  }

  /** Whether an event was complete. */
  get hasEvents(): boolean {
    return this.#hasEvents;
  }

  /** Whether a field or a line is incomplete: a parser would discard what it has
   * read since the last event. Complete comments belong to no event. */
  get isInsideEvent(): boolean {
    return this.#hasOpenFields || this.#line !== "empty";
  }

  /** Takes note of received bytes. */
  push(chunk: Buffer): void {
    let end = lastEventEnd(chunk);
    if (end <= TAIL_BYTES) {
      const seam = Buffer.concat([this.#tail, chunk.subarray(0, TAIL_BYTES)]);
      end = Math.max(end, lastEventEnd(seam) - this.#tail.length);
    }
    if (end > 0) {
      this.#openEventBytes = chunk.length - end;
      this.#hasEvents = true;
    } else {
      this.#openEventBytes += chunk.length;
    }
    this.#tail = chunk.length >= TAIL_BYTES
      ? chunk.subarray(-TAIL_BYTES)
      : Buffer.concat([this.#tail, chunk]).subarray(-TAIL_BYTES);
    this.#followLines(chunk);
  }

  /** Unlike the search for event ends, takes lines with different endings. */
  #followLines(chunk: Buffer): void {
    for (let index = 0; index < chunk.length; index += 1) {
      const byte = chunk[index];
      const isRestOfLineEnd = byte === LINE_FEED &&
        this.#endedWithCarriageReturn;
      this.#endedWithCarriageReturn = byte === CARRIAGE_RETURN;
      if (byte === LINE_FEED || byte === CARRIAGE_RETURN) {
        if (!isRestOfLineEnd) {
          this.#endLine();
        }
      } else if (this.#line === "empty") {
        this.#line = byte === COLON ? "comment" : "field";
      }
    }
  }

  #endLine(): void {
    if (this.#line === "empty") {
      this.#hasOpenFields = false;
    } else if (this.#line === "field") {
      this.#hasOpenFields = true;
    }
    this.#line = "empty";
  }
}
