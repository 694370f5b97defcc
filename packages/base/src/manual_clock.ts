import type { Clock, Timer } from "./clock.ts";

interface Entry {
  dueMs: number;
  fn: () => void;
}

/**
 * A clock that moves only when told to. Timers due at the same moment run in
 * the order in which they were set, so runs repeat exactly.
 */
export class ManualClock implements Clock {
  readonly #startMs: number;
  #elapsedMs = 0;
  #entries: Entry[] = [];

  /** `start` is the wall-clock time at elapsed zero. */
  constructor(start: Date = new Date(0)) {
    this.#startMs = start.getTime();
  }

  now(): Date {
    return new Date(this.#startMs + this.#elapsedMs);
  }

  monotonicMs(): number {
    return this.#elapsedMs;
  }

  setTimer(delayMs: number, fn: () => void): Timer {
    const dueMs = this.#elapsedMs + Math.max(0, delayMs);
    const entry: Entry = { dueMs, fn };
    this.#entries.splice(this.#placeFor(dueMs), 0, entry);
    return {
      cancel: () => {
        entry.fn = () => undefined;
      },
    };
  }

  /** Moves time by `ms`, running due timers and what they set in motion. */
  async advance(ms: number): Promise<void> {
    const endMs = this.#elapsedMs + ms;
    await settleTasks();
    for (;;) {
      const next = this.#entries[0];
      if (next === undefined || next.dueMs > endMs) {
        break;
      }
      this.#entries.shift();
      this.#elapsedMs = Math.max(this.#elapsedMs, next.dueMs);
      next.fn();
      await settleTasks();
    }
    this.#elapsedMs = endMs;
  }

  /** Index after all entries due at or before `dueMs`. */
  #placeFor(dueMs: number): number {
    let low = 0;
    let high = this.#entries.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if (this.#entries[middle]!.dueMs <= dueMs) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    return low;
  }
}

const SETTLE_ROUNDS = 2;

async function settleTasks(): Promise<void> {
  for (let round = 0; round < SETTLE_ROUNDS; round += 1) {
    await new Promise((resolve) => setImmediate(resolve));
  }
}
