import type { Clock } from "@limpetshed/base";
import { SlidingWindowCounter } from "./sliding_window_counter.ts";

/** A request that is refused as all endpoints of its service rest. */
export interface RestRefusal {
  service: string;
  /** 0 is most urgent. */
  priority: number;
  /** Time until the first endpoint is back, milliseconds. */
  firstBackMs: number;
  /** Requests a second that the endpoints take from this node when they are
   * back. */
  requestsPerS: number;
}

/** Refusals that count: the callers of earlier ones have come back. */
const WINDOW_MS = 2_000;
/** Longest time over which callers come back. */
const MAX_SPREAD_MS = 5_000;
const MS_PER_SECOND = 1_000;

/** Spreads the return of callers that are refused while endpoints rest, so that
 * they do not come back together: urgent ones first, each after those before. */
export class RestRefusals {
  readonly #clock: Clock;
  readonly #counters = new Map<string, Map<number, SlidingWindowCounter>>();

  constructor({ clock }: { clock: Clock }) {
    this.#clock = clock;
  }

  /** Records a refusal; returns the time after which the caller may come back,
   * milliseconds. */
  record(
    { service, priority, firstBackMs, requestsPerS }: RestRefusal,
  ): number {
    const counters = this.#countersOf(service);
    let counter = counters.get(priority);
    if (counter === undefined) {
      counter = new SlidingWindowCounter({
        clock: this.#clock,
        windowMs: WINDOW_MS,
      });
      counters.set(priority, counter);
    }
    let before = 0;
    for (const [other, { value }] of counters) {
      before += other <= priority ? value : 0;
    }
    counter.add();
    const spreadMs = before / Math.max(1, requestsPerS) * MS_PER_SECOND;
    return firstBackMs + Math.min(MAX_SPREAD_MS, spreadMs);
  }

  #countersOf(service: string): Map<number, SlidingWindowCounter> {
    let counters = this.#counters.get(service);
    if (counters === undefined) {
      counters = new Map();
      this.#counters.set(service, counters);
    }
    return counters;
  }
}
