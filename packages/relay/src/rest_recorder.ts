import type { EndpointRests, NamedRest } from "@limpetshed/dispatch";
import type { Logger } from "@limpetshed/observe";
import type { RelayObserver } from "./relay_observer.ts";

/** How an endpoint answered a request. */
export type EndpointAnswer =
  /** It took the request. */
  | "accepted"
  /** It did not run the request. */
  | "refused"
  /** It did not answer this request. */
  | "none";

/** Options of {@linkcode RestRecorder}. */
export interface RestRecorderOptions {
  rests: EndpointRests;
  logger: Logger;
  observer: RelayObserver;
}

/** Bound on the endpoints whose malformed rests have been logged. */
const MAX_LOGGED_ENDPOINTS = 1_000;

/** Records the rests that endpoints ask for in their responses. */
export class RestRecorder {
  readonly #options: RestRecorderOptions;
  readonly #loggedEndpoints = new Set<string>();

  constructor(options: RestRecorderOptions) {
    this.#options = options;
  }

  /** Records how the endpoint with this key answered a request, and what the
   * answer says of a rest. */
  record(endpoint: string, answer: EndpointAnswer, rest: NamedRest): void {
    const { rests, observer } = this.#options;
    if (rest.state === "named") {
      rests.recordNamed(endpoint, rest.restMs);
    } else if (rest.state === "malformed") {
      observer.malformedRest();
      this.#logMalformed(endpoint);
    }
    rests.recordAnswered(endpoint, answer);
  }

  #logMalformed(endpoint: string): void {
    if (
      !this.#loggedEndpoints.has(endpoint) &&
      this.#loggedEndpoints.size < MAX_LOGGED_ENDPOINTS
    ) {
      this.#loggedEndpoints.add(endpoint);
      const event = "endpoint_rest";
      this.#options.logger.warn({ event, outcome: "malformed", endpoint });
    }
  }
}
