import type { Endpoint } from "./endpoint_registry.ts";
import type { ExecutionTimes } from "./execution_times.ts";
import type { RecentLoads } from "./recent_loads.ts";

/** Options of {@linkcode ScarceSlots}. */
export interface ScarceSlotsOptions {
  loads: RecentLoads;
  executionTimes: ExecutionTimes;
  /** Returns a number in `[0, 1)`. */
  random: () => number;
}

/** A request of a service with scarce slots. */
export interface ScarceRequest {
  service: string;
  /** Longest wait that is acceptable for it, milliseconds; may be infinite. */
  maxWaitMs: number;
  /** Time left until the caller's deadline, milliseconds. */
  leftMs: number;
  candidates: readonly Endpoint[];
}

/** How long a request of the service would wait. */
export interface ScarceWait {
  waitMs: number;
  /** Undefined if the request is admitted; otherwise the time after which its
   * caller may come back, milliseconds. */
  retryAfterMs: number | undefined;
}

/** Fractions of the acceptable wait between which the share of refused requests
 * grows from none to all. The loads are old: a step would make all nodes refuse
 * all requests until the slots are idle, then none until the queues are full. */
const FIRST_REFUSED_FRACTION = 0.25;
const ALL_REFUSED_FRACTION = 1.25;
/** Part of the excess wait after which a caller may come back. Refusals shorten the
 * queue meanwhile, and a caller that comes back later misses its target. */
const RETURN_FRACTION = 0.5;
/** Shortest time after which a caller may come back, milliseconds. */
const MIN_RETURN_MS = 30;
/** Callers that are refused together come back over this time, milliseconds: a few
 * slots become free in it. */
const RETURN_SPREAD_MS = 30;
/** Fraction of its slots in use up to which an endpoint, or the service, is as good
 * as an idle one. */
const FREE_FRACTION = 0.5;

/** Whether nodes know too little about the loads of the endpoints to choose the
 * least loaded: with fewer slots than nodes, a request is over before most of the
 * other nodes hear of it. */
export function hasScarceSlots(
  endpoints: readonly Endpoint[],
  nodeCount: number,
): boolean {
  return endpoints.reduce((sum, { entry }) => sum + entry.slots, 0) < nodeCount;
}

/**
 * Admits and places requests of a service with fewer slots than the fleet has
 * nodes, under bursts, waves, returning callers and after the loss of endpoints.
 * Most of what other nodes tell of their loads is older than requests last. The wait
 * is estimated over the service, where the errors of the endpoints cancel. Whether a
 * request is refused and where it goes are drawn at random, so that nodes do not all
 * decide alike.
 */
export class ScarceSlots {
  readonly #options: ScarceSlotsOptions;

  constructor(options: ScarceSlotsOptions) {
    this.#options = options;
  }

  /** Decides whether a request is admitted. */
  admit(
    { service, maxWaitMs, leftMs, candidates }: ScarceRequest,
  ): ScarceWait {
    const { executionTimes, random } = this.#options;
    const waitMs = this.#waitMs(candidates, executionTimes.meanMs(service));
    const firstMs = FIRST_REFUSED_FRACTION * maxWaitMs;
    const allMs = ALL_REFUSED_FRACTION * maxWaitMs;
    const refusedShare = waitMs <= firstMs
      ? 0
      : (waitMs - firstMs) / Math.max(1, allMs - firstMs);
    if (waitMs < leftMs && random() >= refusedShare) {
      return { waitMs, retryAfterMs: undefined };
    }
    const excessMs = waitMs - Math.min(firstMs, leftMs);
    const retryAfterMs = Math.max(MIN_RETURN_MS, RETURN_FRACTION * excessMs) +
      RETURN_SPREAD_MS * random();
    return { waitMs, retryAfterMs };
  }

  /** Returns all candidates while the service has many free slots, so that near
   * endpoints can be preferred. Otherwise draws one: full ones are less likely, so
   * that one that is slow or stands still gets few requests. */
  narrow(candidates: readonly Endpoint[]): readonly Endpoint[] {
    const { load, slots } = this.#sum(candidates);
    return load <= FREE_FRACTION * slots
      ? candidates
      : [this.#draw(candidates)];
  }

  #draw(candidates: readonly Endpoint[]): Endpoint {
    const { loads, random } = this.#options;
    const weights = candidates.map(({ key, entry }) => {
      const load = loads.inFlight(key) / Math.max(1, entry.slots);
      return 1 / (1 + Math.max(0, load - FREE_FRACTION)) ** 2;
    });
    let rest = random() * weights.reduce((sum, weight) => sum + weight, 0);
    const index = weights.findIndex((weight) => {
      rest -= weight;
      return rest < 0;
    });
    return candidates[Math.max(0, index)]!;
  }

  /** Expected wait for a slot if requests are spread over the endpoints. */
  #waitMs(endpoints: readonly Endpoint[], meanMs: number): number {
    const { load, slots } = this.#sum(endpoints);
    return Math.max(0, load + 1 - slots) / Math.max(1, slots) * meanMs;
  }

  #sum(endpoints: readonly Endpoint[]): { load: number; slots: number } {
    let load = 0;
    let slots = 0;
    for (const { key, entry } of endpoints) {
      load += this.#options.loads.inFlight(key);
      slots += entry.slots;
    }
    return { load, slots };
  }
}
