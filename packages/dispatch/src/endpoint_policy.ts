import type { Endpoint } from "./endpoint_registry.ts";
import type { LoadTracker } from "./load_tracker.ts";
import type { PromptInfo } from "./prompt_info.ts";

/** Input of an {@linkcode EndpointPolicy} for one request. */
export interface SelectionRequest {
  service: string;
  /** Undefined for services without prompts. */
  prompt: PromptInfo | undefined;
  /** All endpoints of the service, including those that accept no new
   * requests. */
  serviceEndpoints: readonly Endpoint[];
  /** Endpoints that the request may be sent to; never empty. */
  candidates: readonly Endpoint[];
}

/** The endpoint that an {@linkcode EndpointPolicy} selected. */
export interface Selection {
  endpoint: Endpoint;
  /** Endpoint to copy cached parts of the prompt from. */
  copyFrom?: Endpoint;
}

/** Base class of the policies that select the endpoint of a request. */
export abstract class EndpointPolicy {
  protected readonly loads: LoadTracker;

  constructor({ loads }: { loads: LoadTracker }) {
    this.loads = loads;
  }

  /** Selects one of the candidates. */
  abstract select(req: SelectionRequest): Selection;

  /** Mean number of requests in flight per endpoint. */
  protected meanLoad(endpoints: readonly Endpoint[]): number {
    const total = endpoints.reduce(
      (sum, { key }) => sum + this.loads.totalInFlight(key),
      0,
    );
    return endpoints.length === 0 ? 0 : total / endpoints.length;
  }

  /** The candidate with the fewest requests in flight per slot; the first one
   * on a tie. */
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
