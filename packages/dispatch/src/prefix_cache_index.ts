import type { Clock } from "@limpetshed/base";
import { LRUCache } from "lru-cache";
import { boundedEntries } from "./bounded_entries.ts";

/** A prompt part and an endpoint that caches the prompt up to and including
 * it. */
export interface CachedPart {
  partId: string;
  /** Key of the endpoint. */
  endpoint: string;
}

/** Options of {@linkcode PrefixCacheIndex}. */
export interface PrefixCacheIndexOptions {
  clock: Clock;
  /** Maximum number of parts; the least recently used are evicted. */
  maxParts?: number;
  /** Time after its last use for which a part is assumed to be cached,
   * milliseconds. */
  ttlMs?: number;
}

/** Takes a few megabytes of memory at about 150 bytes for each part. */
const DEFAULT_MAX_PARTS = 20_000;
/** A snapshot of this size is about 200 KB when transferred. */
const MAX_SNAPSHOT_PARTS = 5_000;
/** Endpoints keep prompts used within the last minute unless they run out of
 * memory. */
const DEFAULT_TTL_MS = 60_000;
/** Interval after which an entry still in use is sent to the other nodes again;
 * a quarter of its TTL, so that one or two lost datagrams do no harm. */
const READVERTISE_MS = 15_000;

interface CacheEntry {
  lastUsedMs: number;
  /** When this node last sent or received the entry. */
  exchangedMs: number;
}

/**
 * Tracks which endpoints cache which prompt parts, inferred from the requests
 * that this node and others sent. Used to route multi-turn chats, and chats
 * that share a long text, to an endpoint that has already processed it instead
 * of having every endpoint process it.
 */
export class PrefixCacheIndex {
  readonly #clock: Clock;
  readonly #ttlMs: number;
  readonly #parts: LRUCache<string, Map<string, CacheEntry>>;
  #updates: CachedPart[] = [];

  constructor(
    { clock, maxParts = DEFAULT_MAX_PARTS, ttlMs = DEFAULT_TTL_MS }:
      PrefixCacheIndexOptions,
  ) {
    this.#clock = clock;
    this.#ttlMs = ttlMs;
    this.#parts = new LRUCache(boundedEntries(maxParts));
  }

  /** Records that an endpoint caches the part, because this node sent it a
   * prompt with the part or queried its cache. */
  recordCached(cached: CachedPart): void {
    const entry = this.#touch(cached);
    if (entry.lastUsedMs - entry.exchangedMs >= READVERTISE_MS) {
      entry.exchangedMs = entry.lastUsedMs;
      this.#updates.push(cached);
    }
  }

  /** Merges the updates of another node. */
  applyPeerUpdates(parts: readonly CachedPart[]): void {
    for (const cached of parts) {
      const entry = this.#touch(cached);
      entry.exchangedMs = entry.lastUsedMs;
    }
  }

  /** Returns and clears this node's entries that the other nodes have yet to
   * receive. */
  takeUpdates(): CachedPart[] {
    const updates = this.#updates;
    this.#updates = [];
    return updates;
  }

  /** Cached parts, most recently used first, for nodes that start. Limited to
   * about `MAX_SNAPSHOT_PARTS`. */
  snapshot(): CachedPart[] {
    const parts: CachedPart[] = [];
    for (const partId of this.#parts.keys()) {
      for (const endpoint of this.endpointsCaching(partId)) {
        parts.push({ partId, endpoint });
      }
      if (parts.length >= MAX_SNAPSHOT_PARTS) {
        break;
      }
    }
    return parts;
  }

  /** Keys of the endpoints that are assumed to cache the part. */
  endpointsCaching(partId: string): ReadonlySet<string> {
    const oldestMs = this.#clock.monotonicMs() - this.#ttlMs;
    const endpoints = new Set<string>();
    for (const [endpoint, { lastUsedMs }] of this.#parts.peek(partId) ?? []) {
      if (lastUsedMs >= oldestMs) {
        endpoints.add(endpoint);
      }
    }
    return endpoints;
  }

  /** Records that an endpoint no longer caches the part. */
  recordNotCached({ partId, endpoint }: CachedPart): void {
    this.#parts.get(partId)?.delete(endpoint);
  }

  #touch({ partId, endpoint }: CachedPart): CacheEntry {
    let endpoints = this.#parts.get(partId);
    if (endpoints === undefined) {
      endpoints = new Map();
      this.#parts.set(partId, endpoints);
    }
    const entry = endpoints.get(endpoint) ??
      { lastUsedMs: 0, exchangedMs: Number.NEGATIVE_INFINITY };
    entry.lastUsedMs = this.#clock.monotonicMs();
    endpoints.set(endpoint, entry);
    return entry;
  }
}
