import type { Clock } from "@limpetshed/base";
import { hash64 } from "@limpetshed/hashing";
import { SlidingWindowCounter } from "./sliding_window_counter.ts";

/** The fleet's limit on requests to one cold endpoint. */
export interface ColdStartLimits {
  /** Multiple of the endpoint's own rate that is allowed. */
  overage: number;
  /** Requests allowed besides in each second. */
  slack: number;
}

/** Part of the limit that is used; the rest covers delays on the way, which
 * can bring the sends of two seconds together. */
const USED_PART = 0.75;
/** A little over the limit's window of one second, for the same reason. */
const WINDOW_MS = 1_150;

/**
 * Answers endpoints that come back cold under full traffic: all nodes together
 * stay within the rate that a cold endpoint bears, without talking. Each node
 * takes an equal part; where a part is less than one request, only as many
 * nodes as there are requests may send, chosen by hash for each endpoint.
 */
export class ColdStartLimiter {
  readonly #clock: Clock;
  readonly #limits: ColdStartLimits;
  readonly #nodeId: string;
  readonly #nodeIds: () => readonly string[];
  readonly #sent = new Map<string, SlidingWindowCounter>();
  readonly #shares = new Map<
    string,
    { ids: readonly string[]; share: number }
  >();

  constructor({ clock, limits, nodeId, nodeIds }: {
    clock: Clock;
    limits: ColdStartLimits;
    nodeId: string;
    /** Ids of the nodes that may exist, this one included; another array
     * whenever they change. */
    nodeIds: () => readonly string[];
  }) {
    this.#clock = clock;
    this.#limits = limits;
    this.#nodeId = nodeId;
    this.#nodeIds = nodeIds;
  }

  /** Whether a request may go to the cold `endpoint` now. */
  allows(endpoint: string, requestsPerS: number): boolean {
    if (requestsPerS <= 0) {
      return true;
    }
    const sent = this.#sent.get(endpoint)?.value ?? 0;
    return sent < this.#share(endpoint, requestsPerS);
  }

  /** Counts a request sent to the cold `endpoint`. */
  count(endpoint: string): void {
    let sent = this.#sent.get(endpoint);
    if (sent === undefined) {
      sent = new SlidingWindowCounter({
        clock: this.#clock,
        windowMs: WINDOW_MS,
      });
      this.#sent.set(endpoint, sent);
    }
    sent.add();
  }

  /** Forgets an endpoint that is gone or warm. */
  forget(endpoint: string): void {
    this.#sent.delete(endpoint);
    this.#shares.delete(endpoint);
  }

  #share(endpoint: string, requestsPerS: number): number {
    const ids = this.#nodeIds();
    const known = this.#shares.get(endpoint);
    if (known?.ids === ids) {
      return known.share;
    }
    const share = this.#shareOf(endpoint, { requestsPerS, ids });
    this.#shares.set(endpoint, { ids, share });
    return share;
  }

  #shareOf(
    endpoint: string,
    { requestsPerS, ids }: { requestsPerS: number; ids: readonly string[] },
  ): number {
    const { overage, slack } = this.#limits;
    const whole = Math.floor(USED_PART * (requestsPerS * overage + slack));
    const each = Math.floor(whole / Math.max(1, ids.length));
    if (each >= 1) {
      return each;
    }
    const own = hash64(`${endpoint}/${this.#nodeId}`);
    const before = ids.filter((id) => hash64(`${endpoint}/${id}`) < own);
    return before.length < whole ? 1 : 0;
  }
}
