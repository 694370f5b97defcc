import type { Endpoint } from "./endpoint_registry.ts";
import type { LoadBoard } from "./load_board.ts";
import type { PromptFacts } from "./prompt_facts.ts";

/** One choice to be made. */
export interface PolicyRequest {
  service: string;
  /** Undefined for calls of plain services. */
  prompt: PromptFacts | undefined;
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
  protected readonly board: LoadBoard;

  constructor({ board }: { board: LoadBoard }) {
    this.board = board;
  }

  /** Places a request on one of the candidates. */
  abstract place(req: PolicyRequest): Placement;

  /** Mean of the requests in flight at each of `endpoints`. */
  protected meanLoad(endpoints: readonly Endpoint[]): number {
    const total = endpoints.reduce(
      (sum, { key }) => sum + this.board.total(key),
      0,
    );
    return endpoints.length === 0 ? 0 : total / endpoints.length;
  }

  /** The candidate with the least load for its slots, the first of equals. */
  protected leastLoaded(candidates: readonly Endpoint[]): Endpoint {
    let best = candidates[0]!;
    let bestLoad = Number.POSITIVE_INFINITY;
    for (const candidate of candidates) {
      const load = this.board.total(candidate.key) /
        Math.max(1, candidate.entry.slots);
      if (load < bestLoad) {
        best = candidate;
        bestLoad = load;
      }
    }
    return best;
  }
}
