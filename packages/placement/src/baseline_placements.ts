import type { ConfigSnapshot } from "@limpetshed/config";
import { RouterError } from "@limpetshed/errors";
import type {
  EndpointDirectory,
  EndpointInfo,
  Membership,
} from "@limpetshed/membership";
import { findCandidates, rankEndpoints } from "./candidates.ts";
import {
  type Assignment,
  PlacementPolicy,
  type PlacementRequest,
} from "./placement_policy.ts";

/** Options of the baseline policies. */
export interface BaselineOptions {
  membership: Membership;
  directory: EndpointDirectory;
  config: () => ConfigSnapshot;
  /** In-flight count that an endpoint last reported; 0 if unknown. */
  reportedLoad?: (endpointId: string) => number;
}

/**
 * Base of the baseline policies. They need no admission, and count in-flight
 * requests of this node only.
 */
abstract class LocalPlacement extends PlacementPolicy {
  protected readonly options: Required<BaselineOptions>;
  readonly #inFlight = new Map<string, number>();

  constructor(options: BaselineOptions) {
    super();
    this.options = { reportedLoad: () => 0, ...options };
  }

  place(req: PlacementRequest): Promise<Assignment> {
    const { directory, config, membership } = this.options;
    const { endpoints } = findCandidates({
      directory,
      config: config(),
      service: req.service,
      region: membership.self.region,
      exclude: req.exclude,
    });
    const endpoint = this.chooseEndpoint(req, endpoints);
    if (endpoint === undefined) {
      return Promise.reject(
        new RouterError("no_endpoint", "no endpoint is in service"),
      );
    }
    this.#addInFlight(endpoint.id, 1);
    let finished = false;
    const finish = () => {
      if (!finished) {
        finished = true;
        this.#addInFlight(endpoint.id, -1);
      }
    };
    return Promise.resolve({ endpoint, finish });
  }

  /** Requests in flight from this node to an endpoint. */
  protected localInFlight(endpointId: string): number {
    return this.#inFlight.get(endpointId) ?? 0;
  }

  /** Chooses one of the endpoints; undefined if there are none. */
  protected abstract chooseEndpoint(
    req: PlacementRequest,
    endpoints: readonly EndpointInfo[],
  ): EndpointInfo | undefined;

  #addInFlight(endpointId: string, delta: number): void {
    this.#inFlight.set(endpointId, this.localInFlight(endpointId) + delta);
  }
}

function rankingKey({ keys, fingerprint }: PlacementRequest): bigint {
  return keys?.chatKey ?? fingerprint;
}

/** Baseline policy: the highest-ranked endpoint by rendezvous hashing. */
export class RendezvousPlacement extends LocalPlacement {
  protected chooseEndpoint(
    req: PlacementRequest,
    endpoints: readonly EndpointInfo[],
  ): EndpointInfo | undefined {
    return rankEndpoints(rankingKey(req), endpoints)[0];
  }
}

/** Baseline policy: power of two choices on possibly stale reported load. */
export class TwoChoicesPlacement extends LocalPlacement {
  #requestCount = 0;

  protected chooseEndpoint(
    req: PlacementRequest,
    endpoints: readonly EndpointInfo[],
  ): EndpointInfo | undefined {
    this.#requestCount += 1;
    // The counter gives every request its own ranking.
    const key = `${rankingKey(req)}/${this.#requestCount}`;
    const [first, second] = rankEndpoints(key, endpoints);
    if (first === undefined || second === undefined) {
      return first;
    }
    const { reportedLoad } = this.options;
    return reportedLoad(second.id) < reportedLoad(first.id) ? second : first;
  }
}

/**
 * Baseline policy: rendezvous hashing with bounded loads, where the load is the
 * number of in-flight requests from this node.
 */
export class BoundedLocalPlacement extends LocalPlacement {
  protected chooseEndpoint(
    req: PlacementRequest,
    endpoints: readonly EndpointInfo[],
  ): EndpointInfo | undefined {
    const { config } = this.options;
    const multiple = config().service(req.service)?.load_multiple ?? 1;
    const total = endpoints.reduce(
      (sum, { id }) => sum + this.localInFlight(id),
      0,
    );
    const mean = (total + 1) / endpoints.length;
    const bound = Math.max(1, Math.ceil(multiple * mean));
    const ranked = rankEndpoints(rankingKey(req), endpoints);
    return ranked.find(({ id }) => this.localInFlight(id) < bound) ?? ranked[0];
  }
}
