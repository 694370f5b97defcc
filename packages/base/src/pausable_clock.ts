import type { Clock, Timer } from "./clock.ts";
import { type Deferred, deferred } from "./deferred.ts";

/**
 * Wraps a clock so that its timers can be paused while time continues. Tests
 * use it to simulate a suspended process.
 */
export class PausableClock implements Clock {
  readonly #clock: Clock;
  #resumed: Deferred<void> | undefined;
  #deferredTimers: (() => void)[] = [];

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
        this.#deferredTimers.push(run);
      }
    });
    return {
      cancel: () => {
        cancelled = true;
        timer.cancel();
      },
    };
  }

  /** Defers timers that become due until {@linkcode resume}. */
  pause(): void {
    this.#resumed ??= deferred<void>();
  }

  /** Runs the deferred timers in order and stops deferring. */
  resume(): void {
    const deferredTimers = this.#deferredTimers;
    this.#deferredTimers = [];
    const resumed = this.#resumed;
    this.#resumed = undefined;
    deferredTimers.forEach((run) => run());
    resumed?.resolve();
  }

  /** Resolves immediately, or while paused on the next resume. */
  async whenResumed(): Promise<void> {
    await this.#resumed?.promise;
  }
}
