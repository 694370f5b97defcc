import { chooseSpread } from "./choose_spread.ts";
import type { Endpoint } from "./endpoint_registry.ts";
import {
  EndpointPolicy,
  type Selection,
  type SelectionRequest,
} from "./endpoint_policy.ts";
import { ExpectedTimes } from "./expected_time.ts";
import type { LoadTracker } from "./load_tracker.ts";
import type { PrefixCacheIndex } from "./prefix_cache_index.ts";
import { lastSharedPart, type PromptInfo } from "./prompt_info.ts";
import { rankEndpoints } from "./rank_endpoints.ts";

/** Options of {@linkcode PrefixPolicy}. */
export interface PrefixPolicyOptions {
  loads: LoadTracker;
  cacheIndex: PrefixCacheIndex;
  /** Availability zone of this node. */
  availabilityZone: string;
  /** Load bound of each endpoint as a multiple of the mean load. */
  loadMultiple: number;
  /** Finds an endpoint by its key, including one that accepts no new
   * requests. */
  findEndpoint: (key: string) => Endpoint | undefined;
  /** Returns a number in `[0, 1)`; drawn only among endpoints that report how
   * fast they are. */
  random?: () => number;
}

/** Requests allowed above `loadMultiple` times the mean load. */
const LOAD_SLACK_REQUESTS = 3;
/** Margin below the load bound for requests that other nodes send
 * concurrently. */
const LOAD_HEADROOM_REQUESTS = 1;
/** Load bound, as a multiple of the mean, if no endpoint that caches the shared
 * part is eligible. */
const UNCACHED_LOAD_MULTIPLE = 1.25;
/** Fraction of the slots in use from which queueing costs more than processing
 * the prompt again elsewhere. */
const BUSY_SLOT_FRACTION = 0.875;
/** Copying fewer tokens takes longer than processing them again. */
const MIN_COPY_TOKENS = 256;
/** Added to the load per slot of endpoints in other availability zones. */
const CROSS_ZONE_PENALTY = 0.1;
/** Factor by which the expected time in another availability zone has to be
 * shorter: the bytes between zones cost more than a slightly later response. */
const CROSS_ZONE_FACTOR = 1.25;
/** Slowness, as a multiple of the usual, from which nothing new is placed on an
 * endpoint. VMs of one service differ by less. */
const SLOW_FACTOR = 1.6;
/** Expected time, as a multiple of that of a usual request, that a caller has to
 * gain elsewhere before its context is given up: far above the time of copying or
 * processing it, which also delays the requests there. */
const MIN_GAIN = 0.5;

/** What placing a part that no eligible endpoint caches depends on. */
interface Placing {
  partId: string;
  meanLoad: number;
  basis: Basis;
}

/** What tells endpoints apart: loads if no speed is known; otherwise expected
 * times, exact if most requests at the endpoints are this node's. */
type Basis = "loads" | "times" | "exact_times";

/**
 * Prefix-aware policy with bounded loads, for multi-turn chats and long texts
 * shared by many chats. A request goes to an endpoint that caches the last
 * shared part of its prompt, as long as that endpoint is within the load bound.
 * Otherwise the cached part is copied to another endpoint instead of being
 * processed again there. If endpoints report how fast they are, the expected time
 * takes the place of the load per slot, and the choice is spread.
 */
export class PrefixPolicy extends EndpointPolicy {
  readonly #options: PrefixPolicyOptions;
  readonly #times: ExpectedTimes;
  #rotation = 0;

  constructor(options: PrefixPolicyOptions) {
    super(options);
    this.#options = options;
    this.#times = new ExpectedTimes(options);
  }

  select(req: SelectionRequest): Selection {
    const { prompt, candidates } = req;
    const shared = prompt === undefined ? undefined : lastSharedPart(prompt);
    if (shared === undefined) {
      return { endpoint: this.#leastLoadedNearby(candidates) };
    }
    const { cacheIndex } = this.#options;
    const holderKeys = cacheIndex.endpointsCaching(shared.id);
    const meanLoad = this.meanLoad(req.serviceEndpoints);
    const basis = this.#basis(candidates);
    const holder = this.#choose(
      this.#eligibleHolders(candidates, { holderKeys, meanLoad }),
      basis,
    );
    const placing = { partId: shared.id, meanLoad, basis };
    const endpoint = holder === undefined
      ? this.#firstRankedWithinBound(candidates, placing)
      : this.#soonerElsewhere(holder, candidates, placing) ?? holder;
    const copyFrom = holderKeys.has(endpoint.key) ||
        sharedTokenCount(prompt!) < MIN_COPY_TOKENS
      ? undefined
      : this.#copySource(holderKeys);
    cacheIndex.recordCached({ partId: shared.id, endpoint: endpoint.key });
    return { endpoint, copyFrom };
  }

  /** The holders, the endpoints that cache the shared part, within the load
   * bound. Holders with `BUSY_SLOT_FRACTION` or more of their slots in use are
   * excluded, unless that is true of every candidate. */
  #eligibleHolders(
    candidates: readonly Endpoint[],
    { holderKeys, meanLoad }: {
      holderKeys: ReadonlySet<string>;
      meanLoad: number;
    },
  ): Endpoint[] {
    const { loadMultiple } = this.#options;
    const bound = loadMultiple * meanLoad + LOAD_SLACK_REQUESTS -
      LOAD_HEADROOM_REQUESTS;
    const isBelowBusyFraction = ({ key, entry }: Endpoint) =>
      this.loads.totalInFlight(key) < BUSY_SLOT_FRACTION * entry.slots;
    const isAnyCandidateBelowBusyFraction = candidates.some(
      isBelowBusyFraction,
    );
    return candidates.filter((candidate) =>
      holderKeys.has(candidate.key) &&
      this.loads.totalInFlight(candidate.key) + 1 <= bound &&
      (isBelowBusyFraction(candidate) || !isAnyCandidateBelowBusyFraction)
    );
  }

  /** Chooses by expected time, nearby first, if speeds are known, and the least
   * loaded endpoint otherwise. */
  #choose(
    endpoints: readonly Endpoint[],
    basis: Basis,
  ): Endpoint | undefined {
    const { availabilityZone, random = Math.random } = this.#options;
    if (basis === "loads") {
      return endpoints.length === 0 ? undefined : this.leastLoaded(endpoints);
    }
    return chooseSpread(endpoints, {
      cost: (endpoint) => this.#times.of(endpoint),
      isNear: ({ entry }) => entry.availabilityZone === availabilityZone,
      farFactor: CROSS_ZONE_FACTOR,
      isAlone: basis === "exact_times",
      random,
    });
  }

  /** Chooses by rendezvous hashing: nodes that see the same loads choose the
   * same endpoint. One that is slow for longer is passed over. */
  #firstRankedWithinBound(
    candidates: readonly Endpoint[],
    { partId, meanLoad, basis }: Placing,
  ): Endpoint {
    const bound = UNCACHED_LOAD_MULTIPLE * meanLoad + 1;
    const within = rankEndpoints(partId, candidates)
      .filter(({ key }) => this.loads.totalInFlight(key) <= bound);
    const sound = basis === "loads"
      ? within[0]
      : within.find(({ key }) => !this.#isSlow(key));
    return sound ?? within[0] ?? this.#choose(candidates, basis)!;
  }

  /** Where a request is served clearly sooner than at the slow holder, although
   * its context has to be copied or processed there. Undefined if the gain is in
   * doubt, or the endpoint is loaded above the mean, so that others would pay. */
  #soonerElsewhere(
    holder: Endpoint,
    candidates: readonly Endpoint[],
    placing: Placing,
  ): Endpoint | undefined {
    if (placing.basis === "loads" || !this.#isSlow(holder.key)) {
      return undefined;
    }
    const other = this.#firstRankedWithinBound(candidates, placing);
    const isSooner = this.#times.of(other, "high") + MIN_GAIN <
      this.#times.of(holder, "low");
    return isSooner && this.loads.totalInFlight(other.key) <= placing.meanLoad
      ? other
      : undefined;
  }

  #basis(candidates: readonly Endpoint[]): Basis {
    if (!this.#times.isInformed(candidates)) {
      return "loads";
    }
    return this.loads.hasMostOf(candidates) ? "exact_times" : "times";
  }

  #isSlow(endpoint: string): boolean {
    const { low = 1 } = this.loads.speeds.estimate(endpoint) ?? {};
    return low >= SLOW_FACTOR;
  }

  /** The first holder that is still known, whether or not it accepts new
   * requests. */
  #copySource(holderKeys: ReadonlySet<string>): Endpoint | undefined {
    for (const key of holderKeys) {
      const endpoint = this.#options.findEndpoint(key);
      if (endpoint !== undefined) {
        return endpoint;
      }
    }
    return undefined;
  }

  /** For requests without a prompt: the least loaded endpoint, preferring this
   * node's availability zone and rotating among equals. */
  #leastLoadedNearby(candidates: readonly Endpoint[]): Endpoint {
    const basis = this.#basis(candidates);
    if (basis !== "loads") {
      return this.#choose(candidates, basis)!;
    }
    const { availabilityZone } = this.#options;
    this.#rotation += 1;
    let best = candidates[0]!;
    let bestCost = Number.POSITIVE_INFINITY;
    for (let index = 0; index < candidates.length; index += 1) {
      const candidate =
        candidates[(index + this.#rotation) % candidates.length]!;
      const { key, entry } = candidate;
      const zonePenalty = entry.availabilityZone === availabilityZone
        ? 0
        : CROSS_ZONE_PENALTY;
      const cost = this.loads.totalInFlight(key) / Math.max(1, entry.slots) +
        zonePenalty;
      if (cost < bestCost) {
        best = candidate;
        bestCost = cost;
      }
    }
    return best;
  }
}

/** Tokens of all parts but the last. */
function sharedTokenCount({ parts }: PromptInfo): number {
  return parts.slice(0, -1).reduce((sum, { tokens }) => sum + tokens, 0);
}
