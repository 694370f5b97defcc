import type { AccountLoads } from "./account_loads.ts";
import type { Endpoint } from "./endpoint_registry.ts";
import type { LoadTracker } from "./load_tracker.ts";
import type { ScarceSlots } from "./scarce_slots.ts";
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
  | "above_share"
  /** The service has fewer slots than the fleet has nodes, and the request was
   * drawn for refusal, the more likely the longer it would wait. */
  | "scarce_slots";

/** The endpoints whose expected wait is acceptable, or why the request is
 * refused. */
export type Admission =
  | { endpoints: readonly Endpoint[] }
  | {
    refusal: OverloadRefusal;
    waitMs: number;
    /** Time after which the caller may come back, milliseconds, if it differs from
     * `waitMs`. */
    retryAfterMs?: number;
  };

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
  /** Whether the service has too few slots to choose by the load of each endpoint;
   * see `hasScarceSlots`. */
  isScarce?: boolean;
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
  readonly #scarceSlots: ScarceSlots | undefined;

  constructor({ loads, latency, accounts, scarceSlots }: {
    loads: LoadTracker;
    latency: ServiceLatency;
    accounts: AccountLoads;
    /** Judges requests with `isScarce`; without it they are treated like all
     * others. */
    scarceSlots?: ScarceSlots;
  }) {
    this.#loads = loads;
    this.#latency = latency;
    this.#accounts = accounts;
    this.#scarceSlots = scarceSlots;
  }

  /** Returns the candidates whose expected wait is acceptable, or a refusal. */
  admit(req: OverloadRequest): Admission {
    const { candidates } = req;
    if (req.isScarce && this.#scarceSlots !== undefined) {
      return this.#admitScarce(req, this.#scarceSlots);
    }
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

  #admitScarce(req: OverloadRequest, scarceSlots: ScarceSlots): Admission {
    const { service, candidates, leftMs } = req;
    const isAboveShare = this.isAboveShare(service, req.account);
    const { waitMs, retryAfterMs } = scarceSlots.admit({
      service,
      maxWaitMs: this.#targetWaitMs(req, isAboveShare),
      leftMs,
      candidates,
    });
    if (retryAfterMs === undefined) {
      return { endpoints: scarceSlots.narrow(candidates) };
    }
    const refusal = waitMs >= leftMs ? "hopeless" : "scarce_slots";
    return {
      refusal: isAboveShare ? "above_share" : refusal,
      waitMs,
      retryAfterMs,
    };
  }

  /** Returns the candidates for a request that is not judged again. */
  readmit(
    candidates: readonly Endpoint[],
    isScarce: boolean,
  ): readonly Endpoint[] {
    return isScarce && this.#scarceSlots !== undefined
      ? this.#scarceSlots.narrow(candidates)
      : candidates;
  }

  /** Whether the client account has more than its share of the requests in
   * flight at the service. */
  isAboveShare(service: string, account: string | undefined): boolean {
    return account !== undefined &&
      this.#accounts.isAboveShare(service, account);
  }

  #maxWaitMs(req: OverloadRequest, isAboveShare: boolean): number {
    return Math.min(this.#targetWaitMs(req, isAboveShare), req.leftMs);
  }

  /** The wait that leaves enough of the target latency to execute the request. */
  #targetWaitMs(
    { priority, targetLatencyMs }: OverloadRequest,
    isAboveShare: boolean,
  ): number {
    const index = Math.min(Math.floor(priority), MAX_WAIT_FRACTIONS.length - 1);
    const fraction = MAX_WAIT_FRACTIONS[index]! *
      (isAboveShare ? ABOVE_SHARE_FACTOR : 1);
    return fraction * targetLatencyMs;
  }

  /** Expected wait for a free slot, milliseconds. If `load` requests at an
   * endpoint take `meanMs` each, one completes every `meanMs / load`. */
  #waitMs({ key, entry }: Endpoint, meanMs: number): number {
    const load = this.#loads.totalInFlight(key);
    const completionsNeeded = load - entry.slots + 1;
    return completionsNeeded <= 0 ? 0 : completionsNeeded / load * meanMs;
  }
}
