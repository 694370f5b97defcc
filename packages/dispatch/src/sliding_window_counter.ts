import type { Clock } from "@limpetshed/base";

/** Counts events within the last `windowMs` milliseconds. */
export class SlidingWindowCounter {
  readonly #clock: Clock;
  readonly #windowMs: number;
  #times: number[] = [];
  #first = 0;

  constructor({ clock, windowMs }: { clock: Clock; windowMs: number }) {
    this.#clock = clock;
    this.#windowMs = windowMs;
  }

  /** Counts one event now. */
  add(): void {
    this.#times.push(this.#clock.monotonicMs());
  }

  /** Events within the window. */
  get value(): number {
    const oldest = this.#clock.monotonicMs() - this.#windowMs;
    while (
      this.#first < this.#times.length && this.#times[this.#first]! <= oldest
    ) {
      this.#first += 1;
    }
    if (this.#first > 64 && this.#first * 2 > this.#times.length) {
      this.#times = this.#times.slice(this.#first);
      this.#first = 0;
    }
    return this.#times.length - this.#first;
  }
}
