import type { IncomingHttpHeaders } from "node:http";
import type {
  Endpoint,
  EndpointLimiter,
  EndpointRegistry,
  EndpointRests,
  OutlierDetector,
} from "@limpetshed/dispatch";
import type { LeavingRecorder } from "./leaving_recorder.ts";
import type { WireFormat } from "./wire_format.ts";

/** Head of a response to a request of a node's own. */
export interface OwnResponse {
  status: number;
  headers: IncomingHttpHeaders;
}

/** Options of {@linkcode OwnRequests}. */
export interface OwnRequestsOptions {
  registry: EndpointRegistry;
  rests: EndpointRests;
  limiter: EndpointLimiter;
  leavings: LeavingRecorder;
  outlierDetector: OutlierDetector;
  format: WireFormat;
}

const OK_STATUS = 200;

/** Requests that a node sends to endpoints by itself: they keep to what endpoints
 * ask for like those of clients. */
export class OwnRequests {
  readonly #options: OwnRequestsOptions;

  constructor(options: OwnRequestsOptions) {
    this.#options = options;
  }

  /** Whether the endpoint takes a request of this node's own: it does not leave or
   * rest, and its limit, if it names one, leaves this node one; counts it. */
  tryTake(endpoint: Endpoint): boolean {
    const { key } = endpoint;
    const { registry, rests, limiter } = this.#options;
    const isAllowed = !rests.isResting(key) && !registry.isLeaving(endpoint) &&
      limiter.allows(key);
    if (isAllowed) {
      limiter.recordRequest(key);
    }
    return isAllowed;
  }

  /** Records what a response says of its endpoint. */
  recordResponse({ key }: Endpoint, { status, headers }: OwnResponse): void {
    const { format, rests, leavings } = this.#options;
    const { rest, isLeaving } = format.parseResponse(status, headers);
    if (status !== OK_STATUS && rest.state === "named") {
      rests.recordNamed(key, rest.restMs);
    }
    if (isLeaving) {
      leavings.record(key);
    }
  }

  /** Records that an endpoint gave no valid response; clients' requests then avoid
   * it for a time. */
  recordFailure({ key }: Endpoint): void {
    this.#options.outlierDetector.recordConnectionFailure(key);
  }
}
