import { Buffer } from "node:buffer";

/** Size of the blocks of a pool. */
export const POOLED_BLOCK_BYTES = 65_536;

/**
 * Keeps blocks of memory for the next body. Under many bodies that are given up,
 * new blocks would pile up until the garbage collector notices.
 */
export class BlockPool {
  readonly #free: Buffer[] = [];
  readonly #maxBlocks: number;

  /** At most `maxBytes` are kept for later. */
  constructor({ maxBytes }: { maxBytes: number }) {
    this.#maxBlocks = Math.floor(maxBytes / POOLED_BLOCK_BYTES);
  }

  /** Returns a block with arbitrary contents. */
  take(): Buffer {
    return this.#free.pop() ?? Buffer.allocUnsafeSlow(POOLED_BLOCK_BYTES);
  }

  /** Takes a block back that nothing refers to any more. */
  put(block: Buffer): void {
    if (this.#free.length < this.#maxBlocks) {
      this.#free.push(block);
    }
  }
}
