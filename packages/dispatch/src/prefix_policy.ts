import type { Endpoint } from "./endpoint_registry.ts";
import {
  EndpointPolicy,
  type Selection,
  type SelectionRequest,
} from "./endpoint_policy.ts";
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

/**
 * Prefix-aware policy with bounded loads, for multi-turn chats and long texts
 * shared by many chats. A request goes to an endpoint that caches the last
 * shared part of its prompt, as long as that endpoint is within the load bound.
 * Otherwise the cached part is copied to another endpoint instead of being
 * processed again there.
 */
export class PrefixPolicy extends EndpointPolicy {
  readonly #options: PrefixPolicyOptions;
  #rotation = 0;

  constructor(options: PrefixPolicyOptions) {
    super(options);
    this.#options = options;
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
    const endpoint =
      this.#leastLoadedHolder(candidates, { holderKeys, meanLoad }) ??
        this.#firstRankedWithinBound(candidates, {
          partId: shared.id,
          meanLoad,
        });
    const copyFrom = holderKeys.has(endpoint.key) ||
        sharedTokenCount(prompt!) < MIN_COPY_TOKENS
      ? undefined
      : this.#copySource(holderKeys);
    cacheIndex.recordCached({ partId: shared.id, endpoint: endpoint.key });
    return { endpoint, copyFrom };
  }

  /** The least loaded of the holders, the endpoints that cache the shared part,
   * within the load bound. Holders with `BUSY_SLOT_FRACTION` or more of their
   * slots in use are excluded, unless that is true of every candidate. */
  #leastLoadedHolder(
    candidates: readonly Endpoint[],
    { holderKeys, meanLoad }: {
      holderKeys: ReadonlySet<string>;
      meanLoad: number;
    },
  ): Endpoint | undefined {
    const { loadMultiple } = this.#options;
    const bound = loadMultiple * meanLoad + LOAD_SLACK_REQUESTS -
      LOAD_HEADROOM_REQUESTS;
    const isBelowBusyFraction = ({ key, entry }: Endpoint) =>
      this.loads.totalInFlight(key) < BUSY_SLOT_FRACTION * entry.slots;
    const isAnyCandidateBelowBusyFraction = candidates.some(
      isBelowBusyFraction,
    );
    const eligible = candidates.filter((candidate) =>
      holderKeys.has(candidate.key) &&
      this.loads.totalInFlight(candidate.key) + 1 <= bound &&
      (isBelowBusyFraction(candidate) || !isAnyCandidateBelowBusyFraction)
    );
    return eligible.length === 0 ? undefined : this.leastLoaded(eligible);
  }

  /** Chooses by rendezvous hashing: nodes that see the same loads choose the
   * same endpoint. */
  #firstRankedWithinBound(
    candidates: readonly Endpoint[],
    { partId, meanLoad }: { partId: string; meanLoad: number },
  ): Endpoint {
    const bound = UNCACHED_LOAD_MULTIPLE * meanLoad + 1;
    return rankEndpoints(partId, candidates)
      .find(({ key }) => this.loads.totalInFlight(key) <= bound) ??
      this.leastLoaded(candidates);
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
