import type { Clock } from "@limpetshed/base";
import type { LoadTracker } from "./load_tracker.ts";

/** Options of {@linkcode RecentLoads}. */
export interface RecentLoadsOptions {
  clock: Clock;
  loads: LoadTracker;
}

/** Age by which what another node told counts a third, milliseconds. In that time
 * a dozen nodes tell their requests. */
const AGE_WEIGHT_MS = 250;

/**
 * Estimates the requests in flight at an endpoint from those nodes that told theirs
 * most recently, as a sample of all. A sum over all nodes has a smaller error, but
 * is as old as the slowest of them is to tell, and the same at every node: all
 * overshoot together. The errors of samples differ from node to node and cancel
 * over the decisions of many nodes.
 */
export class RecentLoads {
  readonly #options: RecentLoadsOptions;

  constructor(options: RecentLoadsOptions) {
    this.#options = options;
  }

  /** Estimate of all nodes' requests in flight at the endpoint; a fraction. */
  inFlight(endpoint: string): number {
    const { clock, loads } = this.#options;
    const now = clock.monotonicMs();
    let nodes = 0;
    let weights = 0;
    let weighted = 0;
    for (const { counts, atMs } of loads.peerCounts()) {
      const weight = Math.exp((atMs - now) / AGE_WEIGHT_MS);
      nodes += 1;
      weights += weight;
      weighted += weight * (counts.get(endpoint) ?? 0);
    }
    const others = weights > 0 ? nodes * weighted / weights : 0;
    return loads.localInFlight(endpoint) + others;
  }
}
