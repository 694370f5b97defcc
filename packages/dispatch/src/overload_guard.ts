import type { AccountLoads } from "./account_loads.ts";
import type { Endpoint } from "./endpoint_registry.ts";
import type { LoadTracker } from "./load_tracker.ts";
import type { ServiceLatency } from "./service_latency.ts";

/** Why a request is shed although endpoints are in service. */
export type OverloadRefusal =
  /** The expected wait reaches the time left to the caller. */
  | "hopeless"
  /** The expected wait exceeds the fraction of the target latency allowed for
   * the priority. */
  | "overloaded"
  /** As `overloaded`, and the account is above its share of requests in
   * flight. */
  | "above_share";

/** The endpoints whose expected wait is acceptable, or why the request is
 * refused. */
export type Admission =
  | { endpoints: readonly Endpoint[] }
  | { refusal: OverloadRefusal; waitMs: number };

/** A request for which no endpoint has been chosen yet. */
export interface OverloadRequest {
  service: string;
  account: string | undefined;
  /** 0 is most urgent. */
  priority: number;
  /** Shortest target latency of the service's routes, milliseconds. */
  targetLatencyMs: number;
  /** Time left until the caller's deadline, milliseconds. */
  leftMs: number;
  candidates: readonly Endpoint[];
}

/** Fraction of the target latency that a request may wait for a free slot, by
 * priority; the last entry applies to all lower priorities. The rest of the
 * target is left for executing the request. */
const MAX_WAIT_FRACTIONS = [0.75, 0.55, 0.4] as const;
/** Reduces that fraction for an account above its share. */
const ABOVE_SHARE_FACTOR = 0.25;

/**
 * Sheds load when there are more requests than slots. Otherwise every request
 * would wait in the endpoints' queues and miss its target. A request whose
 * expected wait is too long is refused immediately, low priorities and accounts
 * above their share first, so that the others are served in time. Nothing is
 * refused while any candidate has a free slot.
 */
export class OverloadGuard {
  readonly #loads: LoadTracker;
  readonly #latency: ServiceLatency;
  readonly #accounts: AccountLoads;

  constructor({ loads, latency, accounts }: {
    loads: LoadTracker;
    latency: ServiceLatency;
    accounts: AccountLoads;
  }) {
    this.#loads = loads;
    this.#latency = latency;
    this.#accounts = accounts;
  }

  /** Returns the candidates whose expected wait is acceptable, or a refusal. */
  admit(req: OverloadRequest): Admission {
    const { candidates } = req;
    const meanMs = this.#latency.meanMs(req.service);
    const waitMs = (endpoint: Endpoint) => this.#waitMs(endpoint, meanMs);
    if (candidates.every((endpoint) => waitMs(endpoint) === 0)) {
      return { endpoints: candidates };
    }
    const isAboveShare = this.isAboveShare(req.service, req.account);
    const maxWaitMs = this.#maxWaitMs(req, isAboveShare);
    const endpoints = candidates.filter((endpoint) =>
      waitMs(endpoint) <= maxWaitMs
    );
    if (endpoints.length > 0) {
      return { endpoints };
    }
    const shortestMs = Math.min(...candidates.map(waitMs));
    if (shortestMs >= req.leftMs) {
      return { refusal: "hopeless", waitMs: shortestMs };
    }
    const refusal = isAboveShare ? "above_share" : "overloaded";
    return { refusal, waitMs: shortestMs };
  }

  /** Whether the client account has more than its share of the requests in
   * flight at the service. */
  isAboveShare(service: string, account: string | undefined): boolean {
    return account !== undefined &&
      this.#accounts.isAboveShare(service, account);
  }

  #maxWaitMs(
    { priority, targetLatencyMs, leftMs }: OverloadRequest,
    isAboveShare: boolean,
  ): number {
    const index = Math.min(Math.floor(priority), MAX_WAIT_FRACTIONS.length - 1);
    const fraction = MAX_WAIT_FRACTIONS[index]! *
      (isAboveShare ? ABOVE_SHARE_FACTOR : 1);
    return Math.min(fraction * targetLatencyMs, leftMs);
  }

  /** Expected wait for a free slot, milliseconds. If `load` requests at an
   * endpoint take `meanMs` each, one completes every `meanMs / load`. */
  #waitMs({ key, entry }: Endpoint, meanMs: number): number {
    const load = this.#loads.totalInFlight(key);
    const completionsNeeded = load - entry.slots + 1;
    return completionsNeeded <= 0 ? 0 : completionsNeeded / load * meanMs;
  }
}
