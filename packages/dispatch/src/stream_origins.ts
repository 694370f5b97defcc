import type { Clock } from "@limpetshed/base";
import { hash64 } from "@limpetshed/hashing";
import { LRUCache } from "lru-cache";
import { boundedEntries } from "./bounded_entries.ts";

/** Service and software version of the endpoint that began a stream. */
export interface StreamOrigin {
  service: string;
  version: string;
}

/** Streams that began at the same service and version. */
export interface StreamGroup extends StreamOrigin {
  /** Keys as of {@linkcode streamKey}. */
  streams: readonly string[];
}

/** Options of {@linkcode StreamOrigins}. */
export interface StreamOriginsOptions {
  clock: Clock;
  /** Maximum number of streams; the least recently recorded are evicted. */
  maxStreams?: number;
}

/** Time for which a stream is remembered; several times as long as clients go on
 * with one. */
export const STREAM_RETENTION_MS = 60_000;
/** Takes a few megabytes of memory at about 150 bytes for each stream. */
const DEFAULT_MAX_STREAMS = 50_000;
/** Time after which a report that was not acknowledged goes to another node. It
 * takes a third of this if nothing is lost, and streams last some times longer. */
const REPORT_TIMEOUT_MS = 300;
/** Reports of a stream after which the store rather than a node is in trouble. */
const MAX_PROMPT_REPORTS = 3;
/** Interval of further reports of it. */
const REPORT_RETRY_MS = 1_000;
/** Radix of the shortest text for a hash with digits and lower-case letters. */
const KEY_RADIX = 36;

interface OwnStream {
  origin: StreamOrigin;
  beganMs: number;
  /** Number of reports. */
  reports: number;
  /** When it was last reported; negative infinity if never. */
  reportedMs: number;
  /** Whom it was last reported to. */
  recipient: string | undefined;
}

/** Identifies a stream across nodes, by the client's attempt that received its
 * first event. Clients cannot refer to streams of other client accounts. */
export function streamKey(
  account: string | undefined,
  requestId: string,
): string {
  return hash64(`${account ?? ""}\u0000${requestId}`).toString(KEY_RADIX);
}

/**
 * Remembers at which software version streams began: those of this node, and
 * those that the fleet keeps in the store. Only unfinished ones are reported for
 * the store, since a complete stream is not resumed.
 */
export class StreamOrigins {
  readonly #clock: Clock;
  /** An id that two streams have in common has no origin. */
  readonly #origins: LRUCache<
    string,
    { origin: StreamOrigin | "ambiguous"; recordedMs: number }
  >;
  /** Streams that this node relayed and that are not in the store. */
  readonly #unstored: LRUCache<string, OwnStream>;
  /** Those that are in the store. */
  readonly #stored: LRUCache<string, OwnStream>;
  readonly #listeners: (() => void)[] = [];

  constructor(
    { clock, maxStreams = DEFAULT_MAX_STREAMS }: StreamOriginsOptions,
  ) {
    this.#clock = clock;
    this.#origins = new LRUCache(boundedEntries(maxStreams));
    this.#unstored = new LRUCache(boundedEntries(maxStreams));
    this.#stored = new LRUCache(boundedEntries(maxStreams));
  }

  /** Registers a listener for streams of this node that begin from now on. */
  onBegun(listener: () => void): void {
    this.#listeners.push(listener);
  }

  /** Records that a stream of this node begins at `origin`. */
  recordBegun(key: string, origin: StreamOrigin): void {
    const now = this.#clock.monotonicMs();
    this.#origins.set(key, { origin, recordedMs: now });
    this.#unstored.set(key, unreported(origin, now));
    this.#listeners.forEach((listener) => listener());
  }

  /** Takes back the record of a stream of this node that has not begun after all;
   * false if it was reported, so that other nodes may know it. */
  retract(key: string): boolean {
    if (this.#unstored.get(key)?.reportedMs !== Number.NEGATIVE_INFINITY) {
      return false;
    }
    this.#unstored.delete(key);
    this.#origins.delete(key);
    return true;
  }

  /** Records that a stream of this node is complete. */
  recordCompleted(key: string): void {
    this.#unstored.delete(key);
    this.#stored.delete(key);
  }

  /** Has the streams of this node reported again: the store came back without its
   * latest writes. */
  forgetStored(): void {
    for (const [key, { origin, beganMs }] of [...this.#stored.entries()]) {
      this.#unstored.set(key, unreported(origin, beganMs));
    }
    this.#stored.clear();
  }

  /** Records streams that are in the store. Of an unfinished stream of this node, a
   * record with another origin is not its own. */
  recordStored({ service, version, streams }: StreamGroup): void {
    const origin = { service, version };
    for (const key of streams) {
      const own = this.#unstored.get(key) ?? this.#stored.get(key);
      if (own === undefined) {
        this.#record(key, origin);
      } else if (isSameOrigin(own.origin, origin)) {
        this.#stored.set(key, own);
        this.#unstored.delete(key);
      }
    }
  }

  /** Where the stream began; undefined if that is not known. */
  find(key: string): StreamOrigin | undefined {
    const known = this.#origins.get(key);
    const isKnown = known !== undefined && known.origin !== "ambiguous" &&
      !this.#isExpired(known.recordedMs);
    return isKnown ? known.origin as StreamOrigin : undefined;
  }

  /**
   * Returns up to `max` unfinished streams of this node that are to be stored: of
   * services that `needsRecord`, and not reported a moment ago.
   *
   * @param chooseRecipient Returns whom they are reported to, if there are any. Gets
   * the recipients that have not acknowledged earlier reports in time.
   */
  takeReports(
    { needsRecord, max, chooseRecipient = () => undefined }: {
      needsRecord: (service: string) => boolean;
      max: number;
      chooseRecipient?: (silent: ReadonlySet<string>) => string | undefined;
    },
  ): StreamGroup[] {
    const now = this.#clock.monotonicMs();
    const due: [key: string, stream: OwnStream][] = [];
    for (const [key, stream] of [...this.#unstored.entries()]) {
      if (this.#isExpired(stream.beganMs)) {
        this.#unstored.delete(key);
      } else if (
        due.length < max && isDue(stream, now) &&
        needsRecord(stream.origin.service)
      ) {
        due.push([key, stream]);
      }
    }
    if (due.length === 0) {
      return [];
    }
    const recipient = chooseRecipient(
      new Set(due.flatMap(([, { recipient }]) => recipient ?? [])),
    );
    for (const [, stream] of due) {
      stream.reports += 1;
      stream.reportedMs = now;
      stream.recipient = recipient;
    }
    return groupByOrigin(due);
  }

  #record(key: string, origin: StreamOrigin): void {
    const known = this.#origins.get(key);
    const isSame = known === undefined || this.#isExpired(known.recordedMs) ||
      (known.origin !== "ambiguous" && isSameOrigin(known.origin, origin));
    this.#origins.set(key, {
      origin: isSame ? origin : "ambiguous",
      recordedMs: this.#clock.monotonicMs(),
    });
  }

  #isExpired(recordedMs: number): boolean {
    return this.#clock.monotonicMs() - recordedMs > STREAM_RETENTION_MS;
  }
}

function isSameOrigin(a: StreamOrigin, b: StreamOrigin): boolean {
  return a.service === b.service && a.version === b.version;
}

function unreported(origin: StreamOrigin, beganMs: number): OwnStream {
  return {
    origin,
    beganMs,
    reports: 0,
    reportedMs: Number.NEGATIVE_INFINITY,
    recipient: undefined,
  };
}

function isDue({ reports, reportedMs }: OwnStream, now: number): boolean {
  const intervalMs = reports < MAX_PROMPT_REPORTS
    ? REPORT_TIMEOUT_MS
    : REPORT_RETRY_MS;
  return now - reportedMs >= intervalMs;
}

function groupByOrigin(
  streams: readonly [key: string, stream: OwnStream][],
): StreamGroup[] {
  const groups = new Map<string, StreamGroup & { streams: string[] }>();
  for (const [key, { origin: { service, version } }] of streams) {
    const groupKey = JSON.stringify([service, version]);
    const group = groups.get(groupKey) ?? { service, version, streams: [] };
    group.streams.push(key);
    groups.set(groupKey, group);
  }
  return [...groups.values()];
}
