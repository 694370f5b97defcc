import {
  type Endpoint,
  type EndpointRegistry,
  type ServiceVersions,
  streamKey,
  type StreamOrigins,
} from "@limpetshed/dispatch";
import type { RelayRequest } from "./relay_request.ts";
import type { StateView } from "./state_view.ts";
import { VersionVerifier } from "./version_verifier.ts";

/** Options of {@linkcode AttemptOrigin}. */
export interface AttemptOriginOptions {
  request: RelayRequest;
  endpoint: Endpoint;
  registry: Pick<EndpointRegistry, "getByKey">;
  view: StateView;
  versions: ServiceVersions;
  streamOrigins: StreamOrigins;
}

/** Records at which software version the stream of one attempt begins. While the
 * node's view is older than the connection, the endpoint may be another one than
 * its entry says: then the stream goes on nowhere until the view is confirmed. */
export class AttemptOrigin {
  readonly #options: AttemptOriginOptions;
  #isKnown = false;

  constructor(options: AttemptOriginOptions) {
    this.#options = options;
  }

  /** Called before the request is sent over a connection that was established at
   * `openedMs`, so that the record can be stored by the first event. A resumed
   * stream is recorded under the id of this attempt too, as clients may name
   * it. */
  begin(openedMs: number): void {
    const { request, view } = this.#options;
    if (!request.route.resumable) {
      this.#isKnown = true;
      return;
    }
    const verifier = new VersionVerifier(this.#options);
    if (verifier.accepts(openedMs)) {
      this.#record();
      return;
    }
    void verifier.verify(openedMs).then((isVerified) => {
      // A store that cannot be read does not take entries of other endpoints
      // either, so the last view is taken for granted.
      if (isVerified || view.confirmedMs() <= openedMs) {
        this.#record();
      }
    });
  }

  /** Pins the request to the version at which its stream begins. */
  pin(): void {
    const { request } = this.#options;
    request.version ??= this.#isKnown ? this.#version : this.#unknownVersion;
  }

  #record(): void {
    const { request, streamOrigins } = this.#options;
    const { account, requestId, service } = request;
    const version = this.#version;
    this.#isKnown = true;
    if (request.version === this.#unknownVersion) {
      request.version = version;
    }
    const key = streamKey(account, requestId);
    streamOrigins.recordBegun(key, { service, version });
  }

  get #version(): string {
    const { versions, endpoint } = this.#options;
    return versions.versionOf(endpoint);
  }

  /** A version that no endpoint has. */
  get #unknownVersion(): string {
    return `unknown/${this.#options.endpoint.key}`;
  }
}
