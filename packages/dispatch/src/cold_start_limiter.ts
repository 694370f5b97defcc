import type { Clock } from "@limpetshed/base";
import { nodeRank } from "./fleet_share.ts";
import { SlidingWindowCounter } from "./sliding_window_counter.ts";

/** Fleet-wide limit on requests to one cold endpoint. */
export interface ColdStartLimits {
  /** Allowed multiple of the rate that a cold endpoint can serve, as configured
   * for its service. */
  rateMultiple: number;
  /** Requests per second allowed in addition. */
  slack: number;
}

/** Fraction of the limit that is used. Network delays can make requests sent in
 * different seconds arrive within the same one. */
const LIMIT_FRACTION = 0.75;
/** Longer than the limit's window of one second, for the same reason. */
const WINDOW_MS = 1_150;

/**
 * Limits the request rate to cold endpoints, so that one that restarts under
 * full traffic is not overloaded. Each node uses an equal share of the limit,
 * without coordination. If the limit allows fewer requests than there are
 * nodes, each allowed request is assigned to one node: those with the lowest
 * hashes of endpoint and node id may send one each.
 */
export class ColdStartLimiter {
  readonly #clock: Clock;
  readonly #limits: ColdStartLimits;
  readonly #nodeId: string;
  readonly #nodeIds: () => readonly string[];
  /** Requests sent recently, by endpoint key. */
  readonly #requestCounters = new Map<string, SlidingWindowCounter>();
  readonly #shares = new Map<
    string,
    { ids: readonly string[]; share: number }
  >();

  constructor({ clock, limits, nodeId, nodeIds }: {
    clock: Clock;
    limits: ColdStartLimits;
    nodeId: string;
    /** Ids of all nodes that may exist, including this one. Returns a new array
     * whenever they change: shares are cached by its identity. */
    nodeIds: () => readonly string[];
  }) {
    this.#clock = clock;
    this.#limits = limits;
    this.#nodeId = nodeId;
    this.#nodeIds = nodeIds;
  }

  /** Whether a request may be sent to the cold endpoint with the key `endpoint`
   * now. `requestsPerS` is the rate that it can serve; 0 or less means no
   * limit. */
  allows(endpoint: string, requestsPerS: number): boolean {
    if (requestsPerS <= 0) {
      return true;
    }
    const sent = this.#requestCounters.get(endpoint)?.value ?? 0;
    return sent < this.#share(endpoint, requestsPerS);
  }

  /** Records a request sent to the cold `endpoint`. */
  recordRequest(endpoint: string): void {
    let counter = this.#requestCounters.get(endpoint);
    if (counter === undefined) {
      counter = new SlidingWindowCounter({
        clock: this.#clock,
        windowMs: WINDOW_MS,
      });
      this.#requestCounters.set(endpoint, counter);
    }
    counter.add();
  }

  /** Discards the state of an endpoint that was removed or is warm. */
  forget(endpoint: string): void {
    this.#requestCounters.delete(endpoint);
    this.#shares.delete(endpoint);
  }

  #share(endpoint: string, requestsPerS: number): number {
    const ids = this.#nodeIds();
    const cached = this.#shares.get(endpoint);
    if (cached?.ids === ids) {
      return cached.share;
    }
    const share = this.#computeShare(endpoint, { requestsPerS, ids });
    this.#shares.set(endpoint, { ids, share });
    return share;
  }

  #computeShare(
    endpoint: string,
    { requestsPerS, ids }: { requestsPerS: number; ids: readonly string[] },
  ): number {
    const { rateMultiple, slack } = this.#limits;
    const allowed = Math.floor(
      LIMIT_FRACTION * (requestsPerS * rateMultiple + slack),
    );
    const perNode = Math.floor(allowed / Math.max(1, ids.length));
    if (perNode >= 1) {
      return perNode;
    }
    const rank = nodeRank(endpoint, { nodeId: this.#nodeId, nodeIds: ids });
    return rank < allowed ? 1 : 0;
  }
}
