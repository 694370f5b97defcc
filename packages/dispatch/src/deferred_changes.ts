import type { Clock, Timer } from "@limpetshed/base";

/** Options of {@linkcode DeferredChanges.apply}. */
export interface ApplyChangeOptions {
  /** Whether the change may be older than what is known, so that a later one of
   * the same key is waited for. */
  isDoubtful: boolean;
  /** For how long, milliseconds. */
  delayMs: number;
}

/**
 * Applies changes of shared state. One that may be older than what is known takes
 * effect only if no other change of its key arrives in time: whoever wrote the
 * later one writes it again.
 */
export class DeferredChanges {
  readonly #clock: Clock;
  readonly #timers = new Map<string, Timer>();

  constructor({ clock }: { clock: Clock }) {
    this.#clock = clock;
  }

  /** Calls `fn` at once or after the delay; cancels what waits for the same key.
   * Returns whether it was called. */
  apply(
    key: string,
    { isDoubtful, delayMs }: ApplyChangeOptions,
    fn: () => void,
  ): boolean {
    this.cancel(key);
    if (!isDoubtful) {
      fn();
      return true;
    }
    const timer = this.#clock.setTimer(delayMs, () => {
      this.#timers.delete(key);
      fn();
    });
    this.#timers.set(key, timer);
    return false;
  }

  /** Discards the change that waits for a key. */
  cancel(key: string): void {
    this.#timers.get(key)?.cancel();
    this.#timers.delete(key);
  }

  /** Discards all that waits. */
  close(): void {
    [...this.#timers.keys()].forEach((key) => this.cancel(key));
  }
}
