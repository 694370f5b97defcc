import type { KeyMirror } from "./key_mirror.ts";

interface Waiter {
  afterMs: number;
  fn: () => void;
}

/** Calls back when the usual sources of a mirror have confirmed it. */
export class ConfirmationWaiters {
  readonly #mirror: Pick<KeyMirror, "confirmedMs" | "waitForUpdate">;
  readonly #abortController = new AbortController();
  readonly #waiters = new Set<Waiter>();
  #isWaiting = false;

  constructor(
    { mirror }: { mirror: Pick<KeyMirror, "confirmedMs" | "waitForUpdate"> },
  ) {
    this.#mirror = mirror;
  }

  /** Calls `fn` once the mirror holds a state from after the monotonic time
   * `afterMs`; the function that it returns cancels that. Has no effect once
   * closed. */
  add(afterMs: number, fn: () => void): () => void {
    if (this.#abortController.signal.aborted) {
      return () => undefined;
    }
    const waiter = { afterMs, fn };
    this.#waiters.add(waiter);
    if (!this.#isWaiting) {
      void this.#wait();
    }
    return () => this.#waiters.delete(waiter);
  }

  /** Discards what waits. */
  close(): void {
    this.#waiters.clear();
    this.#abortController.abort();
  }

  async #wait(): Promise<void> {
    this.#isWaiting = true;
    while (this.#waiters.size > 0) {
      await this.#mirror.waitForUpdate(this.#abortController.signal);
      const { confirmedMs } = this.#mirror;
      for (const waiter of [...this.#waiters]) {
        if (waiter.afterMs < confirmedMs) {
          this.#waiters.delete(waiter);
          waiter.fn();
        }
      }
    }
    this.#isWaiting = false;
  }
}
