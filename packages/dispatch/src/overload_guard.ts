import type { AccountLoads } from "./account_loads.ts";
import type { Endpoint } from "./endpoint_registry.ts";
import type { LoadTracker } from "./load_tracker.ts";
import type { ServiceLatency } from "./service_latency.ts";

/** Why a request is refused although endpoints are in service. */
export type OverloadRefusal =
  /** It would wait for longer than its caller does. */
  | "hopeless"
  /** It would be late and make others late. */
  | "overloaded"
  /** The same, and its account has more than its share in flight. */
  | "above_share";

/** The endpoints where a request is served in time, or why it is refused. */
export type Admission =
  | { endpoints: readonly Endpoint[] }
  | { refusal: OverloadRefusal; waitMs: number };

/** A request before it is placed. */
export interface OverloadRequest {
  service: string;
  account: string | undefined;
  /** Rank, 0 is most urgent. */
  priority: number;
  /** Shortest target latency of the service's routes, milliseconds. */
  targetLatencyMs: number;
  /** Time left to its caller, milliseconds. */
  leftMs: number;
  candidates: readonly Endpoint[];
}

/** Part of the target latency that requests may wait for a place, by rank, the
 * last for all further ones; the rest is for the work itself. */
const WAIT_PARTS = [0.75, 0.55, 0.4] as const;
/** Part of that for an account above its share. */
const ABOVE_SHARE_PART = 0.25;

/**
 * Answers more requests than endpoints have places for. Without it each waits
 * in the endpoints' queues behind all others and all are late. Requests that
 * would wait too long are refused at once, less urgent ones and those of an
 * account above its share first, so that the rest is served in time. As long
 * as any endpoint has a free place nothing is refused.
 */
export class OverloadGuard {
  readonly #board: LoadTracker;
  readonly #pace: ServiceLatency;
  readonly #accounts: AccountLoads;

  constructor({ loads, latency, accounts }: {
    loads: LoadTracker;
    latency: ServiceLatency;
    accounts: AccountLoads;
  }) {
    this.#board = loads;
    this.#pace = latency;
    this.#accounts = accounts;
  }

  /** Leaves the endpoints where the request waits no longer than it may. */
  admit(req: OverloadRequest): Admission {
    const { candidates } = req;
    const meanMs = this.#pace.meanMs(req.service);
    const waitMs = (endpoint: Endpoint) => this.#waitMs(endpoint, meanMs);
    if (candidates.every((endpoint) => waitMs(endpoint) === 0)) {
      return { endpoints: candidates };
    }
    const isAbove = req.account !== undefined &&
      this.#accounts.isAboveShare(req.service, req.account);
    const allowedMs = this.#allowedMs(req, isAbove);
    const endpoints = candidates.filter((endpoint) =>
      waitMs(endpoint) <= allowedMs
    );
    if (endpoints.length > 0) {
      return { endpoints };
    }
    const shortestMs = Math.min(...candidates.map(waitMs));
    if (shortestMs >= req.leftMs) {
      return { refusal: "hopeless", waitMs: shortestMs };
    }
    const refusal = isAbove ? "above_share" : "overloaded";
    return { refusal, waitMs: shortestMs };
  }

  #allowedMs(
    { priority, targetLatencyMs, leftMs }: OverloadRequest,
    isAbove: boolean,
  ): number {
    const rank = Math.min(Math.floor(priority), WAIT_PARTS.length - 1);
    const part = WAIT_PARTS[rank]! * (isAbove ? ABOVE_SHARE_PART : 1);
    return Math.min(part * targetLatencyMs, leftMs);
  }

  /** Wait for a place, milliseconds. With `load` requests at an endpoint, each
   * there for the mean time, one leaves every `mean / load`. */
  #waitMs({ key, entry }: Endpoint, meanMs: number): number {
    const load = this.#board.totalInFlight(key);
    const ahead = load - entry.slots + 1;
    return ahead <= 0 ? 0 : ahead / load * meanMs;
  }
}
