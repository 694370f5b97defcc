import {
  EndpointPolicy,
  type Placement,
  type PlacementRequest,
} from "./endpoint_policy.ts";
import { lastSharedPart } from "./prompt_info.ts";
import { rankEndpoints } from "./rank_endpoints.ts";

/** Baseline: the fewest requests in flight, blind to prompts. */
export class LeastLoadedPolicy extends EndpointPolicy {
  place({ candidates }: PlacementRequest): Placement {
    return { endpoint: this.leastLoaded(candidates) };
  }
}

/** Multiple of the mean that {@linkcode AffinityPolicy} fills an endpoint to. */
const AFFINITY_MULTIPLE = 1.3;

/** Baseline: rendezvous hashing with bounded loads on the first prompt part. */
export class AffinityPolicy extends EndpointPolicy {
  place({ prompt, members, candidates }: PlacementRequest): Placement {
    const first = prompt?.parts[0];
    if (first === undefined) {
      return { endpoint: this.leastLoaded(candidates) };
    }
    const bound = Math.ceil(AFFINITY_MULTIPLE * this.meanLoad(members)) + 1;
    const endpoint = rankEndpoints(first.id, candidates)
      .find(({ key }) => this.loads.totalInFlight(key) < bound);
    return { endpoint: endpoint ?? this.leastLoaded(candidates) };
  }
}

/** Multiple of the mean that {@linkcode LastSharedPolicy} fills to. */
const LAST_SHARED_MULTIPLE = 1.5;
/** Requests above that multiple. */
const LAST_SHARED_SLACK = 1.5;
/** Part of the slots that may be taken before a request goes elsewhere. */
const LAST_SHARED_SLOTS = 0.875;

/** Baseline: rendezvous hashing on the last part that requests share. */
export class LastSharedPolicy extends EndpointPolicy {
  place({ prompt, members, candidates }: PlacementRequest): Placement {
    const shared = prompt === undefined ? undefined : lastSharedPart(prompt);
    if (shared === undefined) {
      return { endpoint: this.leastLoaded(candidates) };
    }
    const bound = LAST_SHARED_MULTIPLE * this.meanLoad(members) +
      LAST_SHARED_SLACK;
    const ranked = rankEndpoints(shared.id, candidates);
    const endpoint = ranked.find(({ key, entry }) => {
      const load = this.loads.totalInFlight(key);
      return load <= bound && load < LAST_SHARED_SLOTS * entry.slots;
    });
    return { endpoint: endpoint ?? this.leastLoaded(candidates) };
  }
}
