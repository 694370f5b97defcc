import { Buffer } from "node:buffer";
import { type BlockPool, POOLED_BLOCK_BYTES } from "./block_pool.ts";

const MIN_BLOCK_BYTES = 1_024;

/** Options of {@linkcode BodyBlocks}. */
export interface BodyBlocksOptions {
  pool: BlockPool;
  /** Is asked before memory is held; returns whether it may be. */
  reserve: (bytes: number) => boolean;
}

/** Copies the chunks of a body into blocks that grow with it, so that what is held
 * is at most a small multiple of what was received, whatever the chunks. */
export class BodyBlocks {
  readonly #pool: BlockPool;
  readonly #reserve: (bytes: number) => boolean;
  readonly #blocks: Buffer[] = [];
  #current: Buffer | undefined;
  /** Bytes in use of the current block. */
  #used = 0;
  #length = 0;

  constructor({ pool, reserve }: BodyBlocksOptions) {
    this.#pool = pool;
    this.#reserve = reserve;
  }

  /** Number of bytes appended. */
  get length(): number {
    return this.#length;
  }

  /** Appends a chunk; returns false if memory for it was denied. */
  append(chunk: Buffer): boolean {
    let start = 0;
    while (start < chunk.length) {
      if (this.#current === undefined || this.#used === this.#current.length) {
        this.#current = this.#addBlock();
        this.#used = 0;
      }
      if (this.#current === undefined) {
        return false;
      }
      const copied = chunk.copy(this.#current, this.#used, start);
      start += copied;
      this.#used += copied;
      this.#length += copied;
    }
    return true;
  }

  /** Drops everything. */
  clear(): void {
    this.#blocks.filter(({ length }) => length === POOLED_BLOCK_BYTES)
      .forEach((block) => this.#pool.put(block));
    this.#blocks.length = 0;
    this.#current = undefined;
    this.#length = 0;
  }

  /** Removes and returns all bytes. */
  take(): Buffer {
    const body = this.#blocks.length === 1
      // The body stays in its only block, which is smaller than the pool's.
      ? this.#blocks[0]!.subarray(0, this.#length)
      : Buffer.concat(this.#blocks, this.#length);
    this.clear();
    return body;
  }

  #addBlock(): Buffer | undefined {
    const bytes = Math.min(
      POOLED_BLOCK_BYTES,
      Math.max(MIN_BLOCK_BYTES, this.#length),
    );
    if (!this.#reserve(bytes)) {
      return undefined;
    }
    const block = bytes === POOLED_BLOCK_BYTES
      ? this.#pool.take()
      : Buffer.allocUnsafeSlow(bytes);
    this.#blocks.push(block);
    return block;
  }
}
