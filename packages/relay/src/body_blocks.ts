import { Buffer } from "node:buffer";

const MIN_BLOCK_BYTES = 1_024;
const MAX_BLOCK_BYTES = 262_144;
/** Chunks from here on are kept without a copy if they own their memory. */
const MIN_KEPT_CHUNK_BYTES = 4_096;

/** Collects the chunks of a body. Small ones are copied together, so that what is
 * held is at most a small multiple of what was received. */
export class BodyBlocks {
  readonly #blocks: Buffer[] = [];
  readonly #reserve: (bytes: number) => boolean;
  #current: Buffer | undefined;
  #used = 0;
  #length = 0;

  /** `reserve` is asked before memory is held; returns whether it may be. */
  constructor({ reserve }: { reserve: (bytes: number) => boolean }) {
    this.#reserve = reserve;
  }

  /** Number of bytes appended. */
  get length(): number {
    return this.#length;
  }

  /** Appends a chunk; returns false if memory for it was denied. */
  append(chunk: Buffer): boolean {
    const ownsMemory = chunk.buffer.byteLength === chunk.length;
    if (chunk.length >= MIN_KEPT_CHUNK_BYTES && ownsMemory) {
      if (!this.#reserve(chunk.length)) {
        return false;
      }
      this.#finishBlock();
      this.#blocks.push(chunk);
      this.#length += chunk.length;
      return true;
    }
    let start = 0;
    while (start < chunk.length) {
      const block = this.#current ?? this.#addBlock();
      if (block === undefined) {
        return false;
      }
      const copied = chunk.copy(block, this.#used, start);
      start += copied;
      this.#used += copied;
      this.#length += copied;
      if (this.#used === block.length) {
        this.#finishBlock();
      }
    }
    return true;
  }

  /** Drops everything. */
  clear(): void {
    this.#blocks.length = 0;
    this.#current = undefined;
  }

  /** Removes and returns all bytes. */
  take(): Buffer {
    this.#finishBlock();
    const body = this.#blocks.length === 1
      ? this.#blocks[0]!
      : Buffer.concat(this.#blocks, this.#length);
    this.clear();
    return body;
  }

  #addBlock(): Buffer | undefined {
    const bytes = Math.min(
      MAX_BLOCK_BYTES,
      Math.max(MIN_BLOCK_BYTES, this.#length),
    );
    if (!this.#reserve(bytes)) {
      return undefined;
    }
    this.#current = Buffer.allocUnsafeSlow(bytes);
    this.#used = 0;
    return this.#current;
  }

  #finishBlock(): void {
    if (this.#current !== undefined) {
      this.#blocks.push(this.#current.subarray(0, this.#used));
      this.#current = undefined;
    }
  }
}
