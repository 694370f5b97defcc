import type { Clock, Timer } from "./clock.ts";

interface ScheduledTimer {
  dueMs: number;
  fn: () => void;
}

/**
 * Clock for tests that only moves when {@linkcode advance} is called. Timers due
 * at the same time run in the order in which they were set, so test runs are
 * deterministic.
 */
export class ManualClock implements Clock {
  readonly #startMs: number;
  #elapsedMs = 0;
  #timers: ScheduledTimer[] = [];

  /** `start` is the initial wall-clock time. */
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
    const timer: ScheduledTimer = { dueMs, fn };
    this.#timers.splice(this.#insertionIndex(dueMs), 0, timer);
    return {
      cancel: () => {
        timer.fn = () => undefined;
      },
    };
  }

  /** Advances time by `ms`; runs due timers and the tasks they schedule. */
  async advance(ms: number): Promise<void> {
    const endMs = this.#elapsedMs + ms;
    await drainEventLoop();
    for (;;) {
      const next = this.#timers[0];
      if (next === undefined || next.dueMs > endMs) {
        break;
      }
      this.#timers.shift();
      this.#elapsedMs = Math.max(this.#elapsedMs, next.dueMs);
      next.fn();
      await drainEventLoop();
    }
    this.#elapsedMs = endMs;
  }

  /** Index after all timers due at or before `dueMs`. */
  #insertionIndex(dueMs: number): number {
    let low = 0;
    let high = this.#timers.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if (this.#timers[middle]!.dueMs <= dueMs) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    return low;
  }
}

const DRAIN_ROUNDS = 2;

async function drainEventLoop(): Promise<void> {
  for (let round = 0; round < DRAIN_ROUNDS; round += 1) {
    await new Promise((resolve) => setImmediate(resolve));
  }
}
