import type {
  BrittleEndpoints,
  Brittleness,
  Endpoint,
  EndpointLimiter,
  NamedLimit,
} from "@limpetshed/dispatch";
import type { Logger } from "@limpetshed/observe";
import type { RelayObserver } from "./relay_observer.ts";

/** Options of {@linkcode LimitRecorder}. */
export interface LimitRecorderOptions {
  limiter: EndpointLimiter;
  brittleEndpoints: BrittleEndpoints;
  logger: Logger;
  observer: RelayObserver;
}

/** Bound on the endpoints whose malformed limits have been logged. */
const MAX_LOGGED_ENDPOINTS = 1_000;

/** Records the limits that endpoints name in their responses. */
export class LimitRecorder {
  readonly #options: LimitRecorderOptions;
  readonly #loggedEndpoints = new Set<string>();

  constructor(options: LimitRecorderOptions) {
    this.#options = options;
  }

  /** Records what a response of the endpoint with this key says. */
  record(
    endpoint: string,
    limit: NamedLimit,
    { sentMs, isServed }: {
      /** Monotonic time at which its request was sent. */
      sentMs: number;
      /** Whether the endpoint ran the request without an error. */
      isServed: boolean;
    },
  ): void {
    const { limiter: { limits } } = this.#options;
    switch (limit.state) {
      case "named":
        limits.recordResponse(endpoint, {
          requestsPerS: limit.requestsPerS,
          sentMs,
        });
        return;
      case "none":
        // Errors and rejections may be sent by a part of the endpoint that does
        // not know of its limit.
        if (isServed) {
          limits.recordResponse(endpoint, { requestsPerS: undefined, sentMs });
        }
        return;
      case "malformed":
        this.#reportMalformed(endpoint);
    }
  }

  /** Records what a response says of its endpoint's brittleness, and whether the
   * endpoint rejected the request. */
  recordBrittleness(
    { key, entry: { service } }: Endpoint,
    brittleness: Brittleness,
    { isRejected }: { isRejected: boolean },
  ): void {
    const { brittleEndpoints } = this.#options;
    if (brittleness.state === "named") {
      brittleEndpoints.recordNamed(service, brittleness.rejectionsPerS);
    } else if (brittleness.state === "malformed") {
      this.#reportMalformed(key);
    }
    if (isRejected) {
      brittleEndpoints.recordRejection(service, key);
    }
  }

  #reportMalformed(endpoint: string): void {
    const { logger, observer } = this.#options;
    observer.malformedLimit();
    if (
      !this.#loggedEndpoints.has(endpoint) &&
      this.#loggedEndpoints.size < MAX_LOGGED_ENDPOINTS
    ) {
      this.#loggedEndpoints.add(endpoint);
      logger.warn({ event: "endpoint_limit", outcome: "malformed", endpoint });
    }
  }
}
