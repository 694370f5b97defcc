import type { Clock } from "@limpetshed/base";

/** Options of {@linkcode RecentTimes}. */
export interface RecentTimesOptions {
  clock: Clock;
  /** Number of times that are kept; the newest replaces the oldest. */
  capacity: number;
  /** Age from which a time no longer counts, milliseconds. */
  maxAgeMs: number;
}

/** The durations recorded last, of which percentiles are taken. */
export class RecentTimes {
  readonly #options: RecentTimesOptions;
  readonly #times: { durationMs: number; atMs: number }[] = [];
  #next = 0;

  constructor(options: RecentTimesOptions) {
    this.#options = options;
  }

  /** Records a duration, milliseconds. */
  record(durationMs: number): void {
    const atMs = this.#options.clock.monotonicMs();
    this.#times[this.#next] = { durationMs, atMs };
    this.#next = (this.#next + 1) % this.#options.capacity;
  }

  /** Current durations in ascending order. */
  sorted(): number[] {
    const { clock, maxAgeMs } = this.#options;
    const oldestMs = clock.monotonicMs() - maxAgeMs;
    return this.#times.filter(({ atMs }) => atMs >= oldestMs)
      .map(({ durationMs }) => durationMs)
      .sort((a, b) => a - b);
  }
}

/** The value at `fraction` (0 to 1) of values in ascending order, at least one:
 * the smallest that this fraction of them does not exceed. */
export function percentile(
  sorted: readonly number[],
  fraction: number,
): number {
  const index = Math.ceil(fraction * sorted.length) - 1;
  return sorted[Math.min(sorted.length - 1, Math.max(0, index))]!;
}
