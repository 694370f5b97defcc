import { Buffer } from "node:buffer";

/** Line endings of server-sent events; two of a kind end an event. */
const EVENT_ENDS = ["\n\n", "\r\n\r\n", "\r\r"] as const;
/** Bytes kept to find an event end that is split between two chunks. */
const TAIL_BYTES = 3;

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const COLON = 0x3a;

/** Position after the last complete event in `data`; -1 if there is none. */
export function lastEventEnd(data: Buffer): number {
  return Math.max(
    ...EVENT_ENDS.map((eventEnd) => {
      const index = data.lastIndexOf(eventEnd, undefined, "latin1");
      return index < 0 ? -1 : index + eventEnd.length;
    }),
  );
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
    const seam = Buffer.concat([this.#tail, chunk.subarray(0, TAIL_BYTES)]);
    const end = Math.max(
      lastEventEnd(chunk),
      lastEventEnd(seam) - this.#tail.length,
    );
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
    for (const byte of chunk) {
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
