import { Buffer } from "node:buffer";

const INITIAL_BYTES = 1_024;
const EMPTY = Buffer.alloc(0);

/** Bytes that are appended in parts, each of which is copied once, whatever the
 * number of parts. */
export class GrowingBuffer {
  #buffer: Buffer = EMPTY;
  #length = 0;

  get length(): number {
    return this.#length;
  }

  /** Appends bytes. */
  append(bytes: Buffer): void {
    const needed = this.#length + bytes.length;
    if (needed > this.#buffer.length) {
      const capacity = Math.max(INITIAL_BYTES, needed, 2 * this.#buffer.length);
      const grown = Buffer.allocUnsafe(capacity);
      this.#buffer.copy(grown, 0, 0, this.#length);
      this.#buffer = grown;
    }
    bytes.copy(this.#buffer, this.#length);
    this.#length = needed;
  }

  /** The bytes from `start` on, valid until the next call. */
  tail(start: number): Buffer {
    return this.#buffer.subarray(Math.max(0, start), this.#length);
  }

  /** Removes and returns all bytes. */
  take(): Buffer {
    const taken = this.#buffer.subarray(0, this.#length);
    this.#buffer = EMPTY;
    this.#length = 0;
    return taken;
  }
}
