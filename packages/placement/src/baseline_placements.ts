import type { ConfigSnapshot } from "@limpetshed/config";
import { RouterError } from "@limpetshed/errors";
import type {
  EndpointDirectory,
  EndpointInfo,
  Membership,
} from "@limpetshed/membership";
import { findCandidates, rankEndpoints } from "./candidate_list.ts";
import { type Place, Placement, type PlaceRequest } from "./placement.ts";

/** Options of the baselines. */
export interface BaselineOptions {
  membership: Membership;
  directory: EndpointDirectory;
  config: () => ConfigSnapshot;
  /** In-flight count an endpoint last reported; 0 when not known. */
  reportedLoad?: (endpointId: string) => number;
}

/** What the baselines share: no admission, only local knowledge. */
abstract class LocalPlacement extends Placement {
  protected readonly options: Required<BaselineOptions>;
  readonly #inFlight = new Map<string, number>();

  constructor(options: BaselineOptions) {
    super();
    this.options = { reportedLoad: () => 0, ...options };
  }

  place(req: PlaceRequest): Promise<Place> {
    const { directory, config, membership } = this.options;
    const { endpoints } = findCandidates({
      directory,
      config: config(),
      service: req.service,
      region: membership.self.region,
      exclude: req.exclude,
    });
    const endpoint = this.choose(req, endpoints);
    if (endpoint === undefined) {
      return Promise.reject(
        new RouterError("no_endpoint", "no endpoint is in service"),
      );
    }
    this.#add(endpoint.id, 1);
    let finished = false;
    const finish = () => {
      if (!finished) {
        finished = true;
        this.#add(endpoint.id, -1);
      }
    };
    return Promise.resolve({ endpoint, finish });
  }

  /** Requests that this node alone has open on an endpoint. */
  protected localLoad(endpointId: string): number {
    return this.#inFlight.get(endpointId) ?? 0;
  }

  /** Picks one of the endpoints. */
  protected abstract choose(
    req: PlaceRequest,
    endpoints: readonly EndpointInfo[],
  ): EndpointInfo | undefined;

  #add(endpointId: string, by: number): void {
    this.#inFlight.set(endpointId, this.localLoad(endpointId) + by);
  }
}

function keyOf({ keys, fingerprint }: PlaceRequest): bigint {
  return keys?.chatKey ?? fingerprint;
}

/** Baseline: the first endpoint by rendezvous hashing. */
export class RendezvousPlacement extends LocalPlacement {
  protected choose(
    req: PlaceRequest,
    endpoints: readonly EndpointInfo[],
  ): EndpointInfo | undefined {
    return rankEndpoints(keyOf(req), endpoints)[0];
  }
}

/** Baseline: the less loaded of two endpoints, by lagged reports. */
export class TwoChoicesPlacement extends LocalPlacement {
  #round = 0;

  protected choose(
    req: PlaceRequest,
    endpoints: readonly EndpointInfo[],
  ): EndpointInfo | undefined {
    this.#round += 1;
    const key = `${keyOf(req)}/${this.#round}`;
    const [first, second] = rankEndpoints(key, endpoints);
    if (first === undefined || second === undefined) {
      return first;
    }
    const { reportedLoad } = this.options;
    return reportedLoad(second.id) < reportedLoad(first.id) ? second : first;
  }
}

/** Baseline: hashing with bounded loads on what this node alone sends. */
export class BoundedLocalPlacement extends LocalPlacement {
  protected choose(
    req: PlaceRequest,
    endpoints: readonly EndpointInfo[],
  ): EndpointInfo | undefined {
    const { config } = this.options;
    const multiple = config().service(req.service)?.load_multiple ?? 1;
    const total = endpoints.reduce(
      (sum, { id }) => sum + this.localLoad(id),
      0,
    );
    const mean = (total + 1) / endpoints.length;
    const bound = Math.max(1, Math.ceil(multiple * mean));
    const ranked = rankEndpoints(keyOf(req), endpoints);
    return ranked.find(({ id }) => this.localLoad(id) < bound) ?? ranked[0];
  }
}
