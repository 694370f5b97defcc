import type { Clock } from "@limpetshed/base";
import { sleep } from "@limpetshed/base";
import {
  type ServiceVersions,
  streamKey,
  type StreamOrigin,
  type StreamOrigins,
} from "@limpetshed/dispatch";
import { RouterError } from "@limpetshed/errors";
import type { StreamResumption } from "./relay_request.ts";
import type { StateView } from "./state_view.ts";

/** How the origin of a resumed stream was found. */
export type OriginSource =
  /** It was recorded, by this node or in the store. */
  | "recorded"
  /** The route's services have had only one version for some time. */
  | "only_version"
  /** It is not known. */
  | "unknown";

/** How the origin of one resumed stream was found. */
export interface OriginLookup {
  source: OriginSource;
  requestId: string | undefined;
  firstRequestId: string | undefined;
  /** Versions at which the stream can have begun, by service. */
  versions: Record<string, string[]>;
  waitedMs: number;
  /** Time since this node's view was confirmed as current. */
  viewAgeMs: number;
}

/** Options of {@linkcode StreamOriginResolver}. */
export interface StreamOriginResolverOptions {
  clock: Clock;
  origins: StreamOrigins;
  versions: ServiceVersions;
  view: StateView;
  onResolved: (lookup: OriginLookup) => void;
}

/** A resumption for which the origin of its stream is to be found. */
export interface ResumedStream {
  requestId: string | undefined;
  account: string | undefined;
  resumption: StreamResumption;
  /** Services of the route. */
  services: readonly string[];
  arrivedMs: number;
  signal: AbortSignal;
}

/** Longest wait for a view of the store that is not older than the request; an
 * idle watch confirms it each 800 ms, and nodes pass that on. */
const MAX_VIEW_WAIT_MS = 1_500;
/** Time within which the record of a stream reaches all nodes: a round between
 * nodes, the interval of writes, and the way through the store. */
const RECORD_DELAY_MS = 600;
const POLL_INTERVAL_MS = 25;
/** A version that is gone, or an origin that is lost, rarely comes back sooner. */
export const RESUMPTION_RETRY_AFTER_MS = 5_000;

/** Finds out where streams began that clients resume. */
export class StreamOriginResolver {
  readonly #options: StreamOriginResolverOptions;

  constructor(options: StreamOriginResolverOptions) {
    this.#options = options;
  }

  /**
   * Resolves to the origin of the stream. Waits while its record may be under way
   * or this node's view is older than the request.
   *
   * @throws RouterError if the origin is not known, or not a service of the route.
   */
  async resolve(stream: ResumedStream): Promise<StreamOrigin> {
    const { clock, onResolved } = this.#options;
    for (;;) {
      const recorded = this.#findRecorded(stream);
      const found = recorded ?? this.#findOnlyVersion(stream);
      if (found !== undefined) {
        const source = recorded === undefined ? "only_version" : "recorded";
        onResolved(this.#describe(stream, source));
        if (!stream.services.includes(found.service)) {
          throw unknownOriginError("the stream began at another service");
        }
        return found;
      }
      if (stream.signal.aborted || !this.#mayBecomeKnown(stream)) {
        onResolved(this.#describe(stream, "unknown"));
        throw unknownOriginError(
          "the software version of the stream is not known",
        );
      }
      await sleep(clock, POLL_INTERVAL_MS, { signal: stream.signal });
    }
  }

  #describe(stream: ResumedStream, source: OriginSource): OriginLookup {
    const { clock, versions, view } = this.#options;
    const now = clock.monotonicMs();
    return {
      source,
      requestId: stream.requestId,
      firstRequestId: stream.resumption.firstRequestId,
      versions: Object.fromEntries(
        stream.services.map((name) => [name, [...versions.recent(name)]]),
      ),
      waitedMs: now - stream.arrivedMs,
      viewAgeMs: now - view.confirmedMs(),
    };
  }

  #findRecorded(
    { account, resumption: { firstRequestId } }: ResumedStream,
  ): StreamOrigin | undefined {
    return firstRequestId === undefined
      ? undefined
      : this.#options.origins.find(streamKey(account, firstRequestId));
  }

  /** Without a record, the origin is known only if there is just one that it can
   * be, in a view that is not older than the request. */
  #findOnlyVersion(
    { services, arrivedMs }: ResumedStream,
  ): StreamOrigin | undefined {
    const { versions, view } = this.#options;
    if (view.confirmedMs() < arrivedMs) {
      return undefined;
    }
    const possible = services.flatMap((service) =>
      [...versions.recent(service)].map((version) => ({ service, version }))
    );
    return possible.length === 1 ? possible[0] : undefined;
  }

  #mayBecomeKnown({ resumption, arrivedMs }: ResumedStream): boolean {
    const { clock, view } = this.#options;
    const waitedMs = clock.monotonicMs() - arrivedMs;
    return view.confirmedMs() < arrivedMs
      ? waitedMs < MAX_VIEW_WAIT_MS
      : resumption.firstRequestId !== undefined && waitedMs < RECORD_DELAY_MS;
  }
}

function unknownOriginError(message: string): RouterError {
  return new RouterError("stream_origin_unknown", message, {
    retryAfterMs: RESUMPTION_RETRY_AFTER_MS,
  });
}
