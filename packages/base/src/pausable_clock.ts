import type { Clock, Timer } from "./clock.ts";
import { type Deferred, deferred } from "./deferred.ts";

/**
 * A view of another clock whose timers can be held back, as those of a
 * stopped process are, while time itself goes on.
 */
export class PausableClock implements Clock {
  readonly #clock: Clock;
  #resumed: Deferred<void> | undefined;
  #held: (() => void)[] = [];

  constructor({ clock }: { clock: Clock }) {
    this.#clock = clock;
  }

  now(): Date {
    return this.#clock.now();
  }

  monotonicMs(): number {
    return this.#clock.monotonicMs();
  }

  setTimer(delayMs: number, fn: () => void): Timer {
    let cancelled = false;
    const run = () => {
      if (!cancelled) {
        fn();
      }
    };
    const timer = this.#clock.setTimer(delayMs, () => {
      if (this.#resumed === undefined) {
        run();
      } else {
        this.#held.push(run);
      }
    });
    return {
      cancel: () => {
        cancelled = true;
        timer.cancel();
      },
    };
  }

  /** Holds timers back from now on. */
  pause(): void {
    this.#resumed ??= deferred<void>();
  }

  /** Runs the timers held back, in order, and goes on. */
  resume(): void {
    const held = this.#held;
    this.#held = [];
    const resumed = this.#resumed;
    this.#resumed = undefined;
    held.forEach((run) => run());
    resumed?.resolve();
  }

  /** Resolves at once, or at the next resume while paused. */
  async gate(): Promise<void> {
    await this.#resumed?.promise;
  }
}
