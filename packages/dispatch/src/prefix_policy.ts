import type { Endpoint } from "./endpoint_registry.ts";
import {
  EndpointPolicy,
  type Placement,
  type PlacementRequest,
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
  /** Multiple of the mean load that no endpoint may carry. */
  loadMultiple: number;
  /** Finds an endpoint by its key, also one that takes no new work. */
  findEndpoint: (key: string) => Endpoint | undefined;
}

/** Requests above the multiple of the mean that are allowed. */
const LOAD_SLACK = 3;
/** Requests kept free below the allowed load, since other nodes send too. */
const LOAD_MARGIN = 1;
/** Multiple of the mean up to which an endpoint takes new texts. */
const NEW_TEXT_MULTIPLE = 1.25;
/** Part of the slots above which waiting costs more than reading anew. */
const BUSY_PART = 0.875;
/** Copying fewer tokens than these costs more time than reading them. */
const MIN_COPY_TOKENS = 256;
/** Load that another zone's endpoint may be below a near one, in slots. */
const ZONE_PREFERENCE = 0.1;

/**
 * Answers long texts shared by many chats and chats that return: a request
 * goes where the last shared part of its prompt has been read, as long as that
 * endpoint is within the bound on the load; else the part is copied to another
 * one instead of read again.
 */
export class PrefixPolicy extends EndpointPolicy {
  readonly #options: PrefixPolicyOptions;
  #turn = 0;

  constructor(options: PrefixPolicyOptions) {
    super(options);
    this.#options = options;
  }

  place(req: PlacementRequest): Placement {
    const { prompt, candidates } = req;
    const shared = prompt === undefined ? undefined : lastSharedPart(prompt);
    if (shared === undefined) {
      return { endpoint: this.#nearest(candidates) };
    }
    const { cacheIndex: holders } = this.#options;
    const holding = holders.endpointsHolding(shared.id);
    const meanLoad = this.meanLoad(req.members);
    const endpoint =
      this.#leastLoadedHolder(candidates, { holding, meanLoad }) ??
        this.#firstRanked(candidates, { partId: shared.id, meanLoad });
    const copyFrom = holding.has(endpoint.key) ||
        sharedTokens(prompt!) < MIN_COPY_TOKENS
      ? undefined
      : this.#copySource(holding);
    holders.sent({ partId: shared.id, endpoint: endpoint.key });
    return { endpoint, copyFrom };
  }

  #leastLoadedHolder(
    candidates: readonly Endpoint[],
    { holding, meanLoad }: { holding: ReadonlySet<string>; meanLoad: number },
  ): Endpoint | undefined {
    const { loadMultiple } = this.#options;
    const bound = loadMultiple * meanLoad + LOAD_SLACK - LOAD_MARGIN;
    const hasRoom = ({ key, entry }: Endpoint) =>
      this.loads.totalInFlight(key) < BUSY_PART * entry.slots;
    const isAnyFree = candidates.some(hasRoom);
    const fitting = candidates.filter((candidate) =>
      holding.has(candidate.key) &&
      this.loads.totalInFlight(candidate.key) + 1 <= bound &&
      (hasRoom(candidate) || !isAnyFree)
    );
    return fitting.length === 0 ? undefined : this.leastLoaded(fitting);
  }

  /** The same endpoint on every node that sees the same loads. */
  #firstRanked(
    candidates: readonly Endpoint[],
    { partId, meanLoad }: { partId: string; meanLoad: number },
  ): Endpoint {
    const bound = NEW_TEXT_MULTIPLE * meanLoad + 1;
    return rankEndpoints(partId, candidates)
      .find(({ key }) => this.loads.totalInFlight(key) <= bound) ??
      this.leastLoaded(candidates);
  }

  #copySource(holding: ReadonlySet<string>): Endpoint | undefined {
    for (const key of holding) {
      const endpoint = this.#options.findEndpoint(key);
      if (endpoint !== undefined) {
        return endpoint;
      }
    }
    return undefined;
  }

  /** For calls without a prompt: the least loaded, near ones first. */
  #nearest(candidates: readonly Endpoint[]): Endpoint {
    const { availabilityZone } = this.#options;
    this.#turn += 1;
    let best = candidates[0]!;
    let bestCost = Number.POSITIVE_INFINITY;
    for (let at = 0; at < candidates.length; at += 1) {
      const candidate = candidates[(at + this.#turn) % candidates.length]!;
      const { key, entry } = candidate;
      const far = entry.availabilityZone === availabilityZone
        ? 0
        : ZONE_PREFERENCE;
      const cost = this.loads.totalInFlight(key) / Math.max(1, entry.slots) +
        far;
      if (cost < bestCost) {
        best = candidate;
        bestCost = cost;
      }
    }
    return best;
  }
}

/** Tokens up to the deepest shared part. */
function sharedTokens({ parts }: PromptInfo): number {
  return parts.slice(0, -1).reduce((sum, { tokens }) => sum + tokens, 0);
}
