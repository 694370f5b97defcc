import {
  EndpointPolicy,
  type Selection,
  type SelectionRequest,
} from "./endpoint_policy.ts";
import { lastSharedPart } from "./prompt_info.ts";
import { rankEndpoints } from "./rank_endpoints.ts";

/** Baseline for comparison with other policies: fewest requests in flight per
 * slot, ignoring prompts. */
export class LeastLoadedPolicy extends EndpointPolicy {
  select({ candidates }: SelectionRequest): Selection {
    return { endpoint: this.leastLoaded(candidates) };
  }
}

/** Load bound of {@linkcode AffinityPolicy}, as a multiple of the mean. */
const AFFINITY_LOAD_MULTIPLE = 1.3;

/** Baseline for comparison with other policies: rendezvous hashing with bounded
 * loads on the first prompt part. */
export class AffinityPolicy extends EndpointPolicy {
  select(
    { prompt, serviceEndpoints, candidates }: SelectionRequest,
  ): Selection {
    const first = prompt?.parts[0];
    if (first === undefined) {
      return { endpoint: this.leastLoaded(candidates) };
    }
    const bound =
      Math.ceil(AFFINITY_LOAD_MULTIPLE * this.meanLoad(serviceEndpoints)) +
      1;
    const endpoint = rankEndpoints(first.id, candidates)
      .find(({ key }) => this.loads.totalInFlight(key) < bound);
    return { endpoint: endpoint ?? this.leastLoaded(candidates) };
  }
}

/** Load bound of {@linkcode LastSharedPolicy}, as a multiple of the mean. */
const LAST_SHARED_LOAD_MULTIPLE = 1.5;
/** Requests allowed above that multiple. */
const LAST_SHARED_SLACK_REQUESTS = 1.5;
/** Fraction of the slots in use from which an endpoint is excluded. */
const LAST_SHARED_SLOT_FRACTION = 0.875;

/** Baseline for comparison with other policies: rendezvous hashing with bounded
 * loads on the last shared prompt part. */
export class LastSharedPolicy extends EndpointPolicy {
  select(
    { prompt, serviceEndpoints, candidates }: SelectionRequest,
  ): Selection {
    const shared = prompt === undefined ? undefined : lastSharedPart(prompt);
    if (shared === undefined) {
      return { endpoint: this.leastLoaded(candidates) };
    }
    const bound = LAST_SHARED_LOAD_MULTIPLE * this.meanLoad(serviceEndpoints) +
      LAST_SHARED_SLACK_REQUESTS;
    const ranked = rankEndpoints(shared.id, candidates);
    const endpoint = ranked.find(({ key, entry }) => {
      const load = this.loads.totalInFlight(key);
      return load <= bound && load < LAST_SHARED_SLOT_FRACTION * entry.slots;
    });
    return { endpoint: endpoint ?? this.leastLoaded(candidates) };
  }
}
