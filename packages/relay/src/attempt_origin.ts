import {
  type Endpoint,
  type EndpointRegistry,
  type SendOutcome,
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

/**
 * Records at which software version the stream of one attempt begins. While the
 * node's view is older than the connection, the endpoint may be another one than
 * its entry says: then the stream goes on nowhere until the view is confirmed.
 * That is asked of the store only if it matters at once, since in a large fleet
 * most streams begin on new connections.
 */
export class AttemptOrigin {
  readonly #options: AttemptOriginOptions;
  readonly #verifier: VersionVerifier;
  #isKnown = false;
  /** Whether this attempt made the record. */
  #isRecorded = false;
  #isOver = false;
  #openedMs: number | undefined;
  #cancelWait: () => void = () => undefined;

  constructor(options: AttemptOriginOptions) {
    this.#options = options;
    this.#verifier = new VersionVerifier(options);
  }

  /** Called before the request is sent over a connection that was established at
   * `openedMs`, so that the record can be stored by the first event. A resumed
   * stream is recorded under the id of this attempt too, as clients may name
   * it. */
  begin(openedMs: number): void {
    const { request, view, versions } = this.#options;
    if (!request.route.resumable) {
      this.#isKnown = true;
      return;
    }
    this.#openedMs = openedMs;
    if (this.#verifier.accepts(openedMs)) {
      this.#record();
    } else if (
      view.onceConfirmed === undefined || versions.isMixed(request.service)
    ) {
      void this.#verifyAndRecord(openedMs);
    } else {
      // Nothing else is recorded in the store while there is one version.
      this.#cancelWait = view.onceConfirmed(
        openedMs,
        () => void this.#verifyAndRecord(openedMs),
      );
    }
  }

  /** Called at the end of the attempt. A stream that was broken off after its first
   * event may go on elsewhere, so where it began is found out first. One that has
   * not begun may begin elsewhere, but only at the same version if other nodes may
   * know of the record. */
  async end(outcome: SendOutcome): Promise<void> {
    const { request } = this.#options;
    this.#cancelWait();
    if (outcome === "delivered") {
      this.#isOver = true;
    } else if (
      this.#openedMs !== undefined && request.version === this.#unknownVersion
    ) {
      await this.#verifyAndRecord(this.#openedMs);
    } else if (request.version === undefined) {
      this.#isOver = true;
      this.#retract();
    }
  }

  /** Pins the request to the version at which its stream begins. */
  pin(): void {
    const { request } = this.#options;
    request.version ??= this.#isKnown ? this.#version : this.#unknownVersion;
  }

  async #verifyAndRecord(openedMs: number): Promise<void> {
    const isVerified = await this.#verifier.verify(openedMs);
    // A store that cannot be read does not take entries of other endpoints
    // either, so the last view is taken for granted.
    const isUnreadable = this.#options.view.confirmedMs() <= openedMs;
    if (!this.#isOver && !this.#isKnown && (isVerified || isUnreadable)) {
      this.#record();
    }
  }

  #record(): void {
    const { request, streamOrigins } = this.#options;
    const version = this.#version;
    this.#isKnown = true;
    if (request.version === this.#unknownVersion) {
      request.version = version;
    }
    if (request.reportedVersion !== version) {
      this.#isRecorded = true;
      const { service } = request;
      streamOrigins.recordBegun(this.#key, { service, version });
    }
  }

  #retract(): void {
    const { request, streamOrigins } = this.#options;
    if (this.#isRecorded && !streamOrigins.retract(this.#key)) {
      request.reportedVersion = this.#version;
    }
  }

  get #key(): string {
    const { account, requestId } = this.#options.request;
    return streamKey(account, requestId);
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
