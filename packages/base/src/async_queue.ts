/** Unbounded single-consumer queue that is read as an async iterable. */
export class AsyncQueue<T> implements AsyncIterable<T> {
  readonly #items: T[] = [];
  #closed = false;
  #wakeReader: (() => void) | undefined;

  /** Appends an item; ignored after `close`. */
  push(item: T): void {
    if (this.#closed) {
      return;
    }
    this.#items.push(item);
    this.#wakeReader?.();
  }

  /** Number of unread items. */
  get size(): number {
    return this.#items.length;
  }

  /** Ends the iteration after the items already queued have been read. */
  close(): void {
    this.#closed = true;
    this.#wakeReader?.();
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
        this.#wakeReader = resolve;
      });
      this.#wakeReader = undefined;
    }
  }
}
