/** An unbounded queue read as an async iterable by one reader. */
export class AsyncQueue<T> implements AsyncIterable<T> {
  readonly #items: T[] = [];
  #closed = false;
  #wake: (() => void) | undefined;

  /** Appends an item; ignored after `close`. */
  push(item: T): void {
    if (this.#closed) {
      return;
    }
    this.#items.push(item);
    this.#wake?.();
  }

  /** Number of items not read yet. */
  get size(): number {
    return this.#items.length;
  }

  /** Ends the iteration once the items already pushed are read. */
  close(): void {
    this.#closed = true;
    this.#wake?.();
  }

  async *[Symbol.asyncIterator](): AsyncIterator<T> {
    for (;;) {
      if (this.#items.length > 0) {
        yield this.#items.shift() as T;
        continue;
      }
      if (this.#closed) {
        return;
      }
      await new Promise<void>((resolve) => {
        this.#wake = resolve;
      });
      this.#wake = undefined;
    }
  }
}
