import type { Clock } from "@limpetshed/base";
import type { StreamGroupEntry, StreamReport } from "./stream_message.ts";

/** Options of {@linkcode PendingStreams}. */
export interface PendingStreamsOptions {
  clock: Clock;
  /** Whether a stream is known to be in the store. */
  isStored: (
    stream: string,
    origin: { service: string; version: string },
  ) => boolean;
}

interface PendingStream {
  service: string;
  version: string;
  stream: string;
  author: string | undefined;
  isCopy: boolean;
  /** Monotonic time from which on it is written. */
  dueMs: number;
}

/** Time that another node has to write a stream before its copy is written: its
 * interval of writes, a call to the store and the way back through a watch. */
const COPY_DELAY_MS = 400;
/** A batch of this many streams takes some 300 kB in the store. */
const MAX_STREAMS = 20_000;

/** Streams that are written to the store together. */
export class StreamBatch {
  readonly entries: ReadonlyMap<string, PendingStream>;

  constructor(entries: ReadonlyMap<string, PendingStream>) {
    this.entries = entries;
  }

  /** Whether there is nothing to write. */
  get isEmpty(): boolean {
    return this.entries.size === 0;
  }

  /** All streams. */
  groups(): StreamGroupEntry[] {
    return groupByOrigin([...this.entries.values()]);
  }

  /** Streams by the id of the node that relays them, if it is known. */
  groupsByAuthor(): Map<string, StreamGroupEntry[]> {
    const byAuthor = new Map<string, PendingStream[]>();
    for (const entry of this.entries.values()) {
      if (entry.author !== undefined) {
        const own = byAuthor.get(entry.author) ?? [];
        own.push(entry);
        byAuthor.set(entry.author, own);
      }
    }
    return new Map(
      [...byAuthor].map(([author, own]) => [author, groupByOrigin(own)]),
    );
  }
}

/** Streams that this node has to bring to the store, of itself and of others. */
export class PendingStreams {
  readonly #options: PendingStreamsOptions;
  readonly #entries = new Map<string, PendingStream>();

  constructor(options: PendingStreamsOptions) {
    this.#options = options;
  }

  /** Adds the streams of a report; the oldest ones beyond the limit are dropped. */
  add({ groups, author, isCopy }: StreamReport): void {
    const now = this.#options.clock.monotonicMs();
    for (const [service, version, streams] of groups) {
      for (const stream of streams) {
        const key = JSON.stringify([service, version, stream]);
        if (isCopy && this.#entries.has(key)) {
          continue;
        }
        const dueMs = isCopy ? now + COPY_DELAY_MS : now;
        this.#entries.set(key, {
          service,
          version,
          stream,
          author,
          isCopy,
          dueMs,
        });
      }
    }
    const excess = Math.max(0, this.#entries.size - MAX_STREAMS);
    for (const key of [...this.#entries.keys()].slice(0, excess)) {
      this.#entries.delete(key);
    }
  }

  /** The streams to write now; drops copies of streams that are in the store. */
  due(): StreamBatch {
    const { clock, isStored } = this.#options;
    const now = clock.monotonicMs();
    const due = new Map<string, PendingStream>();
    for (const [key, entry] of this.#entries) {
      if (entry.dueMs > now) {
        continue;
      }
      if (entry.isCopy && isStored(entry.stream, entry)) {
        this.#entries.delete(key);
      } else {
        due.set(key, entry);
      }
    }
    return new StreamBatch(due);
  }

  /** Removes what was written, but for streams that were added again since. */
  remove({ entries }: StreamBatch): void {
    for (const [key, entry] of entries) {
      if (this.#entries.get(key) === entry) {
        this.#entries.delete(key);
      }
    }
  }
}

function groupByOrigin(entries: readonly PendingStream[]): StreamGroupEntry[] {
  const groups = new Map<string, StreamGroupEntry>();
  for (const { service, version, stream } of entries) {
    const key = JSON.stringify([service, version]);
    const group = groups.get(key) ?? [service, version, []];
    group[2].push(stream);
    groups.set(key, group);
  }
  return [...groups.values()];
}
