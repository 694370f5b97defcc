import type { Endpoint } from "./endpoint_registry.ts";
import type { LoadTracker } from "./load_tracker.ts";
import type { PromptInfo } from "./prompt_info.ts";

/** One choice to be made. */
export interface PlacementRequest {
  service: string;
  /** Undefined for calls of plain services. */
  prompt: PromptInfo | undefined;
  /** Every endpoint of the service, also those that take no new work. */
  members: readonly Endpoint[];
  /** Those that may be tried now; never empty. */
  candidates: readonly Endpoint[];
}

/** Where a request goes. */
export interface Placement {
  endpoint: Endpoint;
  /** Endpoint to copy known parts of the prompt from. */
  copyFrom?: Endpoint;
}

/** Chooses the endpoint of a request. */
export abstract class EndpointPolicy {
  protected readonly loads: LoadTracker;

  constructor({ loads }: { loads: LoadTracker }) {
    this.loads = loads;
  }

  /** Places a request on one of the candidates. */
  abstract place(req: PlacementRequest): Placement;

  /** Mean of the requests in flight at each of `endpoints`. */
  protected meanLoad(endpoints: readonly Endpoint[]): number {
    const total = endpoints.reduce(
      (sum, { key }) => sum + this.loads.totalInFlight(key),
      0,
    );
    return endpoints.length === 0 ? 0 : total / endpoints.length;
  }

  /** The candidate with the least load for its slots, the first of equals. */
  protected leastLoaded(candidates: readonly Endpoint[]): Endpoint {
    let best = candidates[0]!;
    let bestLoad = Number.POSITIVE_INFINITY;
    for (const candidate of candidates) {
      const load = this.loads.totalInFlight(candidate.key) /
        Math.max(1, candidate.entry.slots);
      if (load < bestLoad) {
        best = candidate;
        bestLoad = load;
      }
    }
    return best;
  }
}
