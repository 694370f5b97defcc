import type { Clock } from "@limpetshed/base";

/** Counts events within the last `windowMs` milliseconds. */
export class SlidingWindowCounter {
  readonly #clock: Clock;
  readonly #windowMs: number;
  #timesMs: number[] = [];
  #firstIndex = 0;

  constructor({ clock, windowMs }: { clock: Clock; windowMs: number }) {
    this.#clock = clock;
    this.#windowMs = windowMs;
  }

  /** Records one event at the current time. */
  add(): void {
    this.#timesMs.push(this.#clock.monotonicMs());
  }

  /** Takes back the event recorded last, if it is within the window. */
  removeLast(): void {
    if (this.value > 0) {
      this.#timesMs.pop();
    }
  }

  /** Number of events within the window. */
  get value(): number {
    const cutoffMs = this.#clock.monotonicMs() - this.#windowMs;
    while (
      this.#firstIndex < this.#timesMs.length &&
      this.#timesMs[this.#firstIndex]! <= cutoffMs
    ) {
      this.#firstIndex += 1;
    }
    // Compacts the array only once more than half of it and at least 65 events
    // have expired, so that the copies are rare.
    if (this.#firstIndex > 64 && this.#firstIndex * 2 > this.#timesMs.length) {
      this.#timesMs = this.#timesMs.slice(this.#firstIndex);
      this.#firstIndex = 0;
    }
    return this.#timesMs.length - this.#firstIndex;
  }
}
