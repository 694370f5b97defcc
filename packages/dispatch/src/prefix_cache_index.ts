import type { Clock } from "@limpetshed/base";
import { LRUCache } from "lru-cache";

/** An endpoint that has read a prompt up to a part. */
export interface CachedPart {
  partId: string;
  endpoint: string;
}

/** Options of {@linkcode PrefixCacheIndex}. */
export interface PrefixCacheIndexOptions {
  clock: Clock;
  /** Parts remembered, the least recently used are forgotten. */
  maxParts?: number;
  /** How long an endpoint counts as holding a part since its last use,
   * milliseconds. */
  ttlMs?: number;
}

/** Some 150 bytes each, so a few megabytes. */
const MAX_PARTS = 20_000;
/** Some 200 KB on the wire. */
const MAX_SNAPSHOT = 5_000;
/** Endpoints keep what they used in the last minute unless memory is short. */
const HOLD_MS = 60_000;
/** What all nodes were told is told again after this time, milliseconds; a
 * quarter of the time for which it counts, so that a lost datagram or two do
 * not matter. */
const RETELL_MS = 15_000;

interface Holding {
  usedMs: number;
  /** When this node last told it or was told. */
  toldMs: number;
}

/**
 * Which endpoints hold which parts of prompts, from what this node and others
 * sent there. Answers returning chats and long texts that many chats share:
 * each is read by one endpoint, not by each that could.
 */
export class PrefixCacheIndex {
  readonly #clock: Clock;
  readonly #holdMs: number;
  readonly #parts: LRUCache<string, Map<string, Holding>>;
  #news: CachedPart[] = [];

  constructor(
    { clock, maxParts = MAX_PARTS, ttlMs = HOLD_MS }: PrefixCacheIndexOptions,
  ) {
    this.#clock = clock;
    this.#holdMs = ttlMs;
    this.#parts = new LRUCache({ max: maxParts });
  }

  /** Notes that this node sent a prompt with the part to an endpoint. */
  sent(held: CachedPart): void {
    const holding = this.#use(held);
    if (holding.usedMs - holding.toldMs >= RETELL_MS) {
      holding.toldMs = holding.usedMs;
      this.#news.push(held);
    }
  }

  /** Notes what another node sent. */
  applyPeerUpdates(held: readonly CachedPart[]): void {
    for (const part of held) {
      const holding = this.#use(part);
      holding.toldMs = holding.usedMs;
    }
  }

  /** What the other nodes do not know yet of what this node sent. */
  takeUpdates(): CachedPart[] {
    const news = this.#news;
    this.#news = [];
    return news;
  }

  /** What is known, the most recently used parts first; for nodes that start. */
  snapshot(): CachedPart[] {
    const held: CachedPart[] = [];
    for (const partId of this.#parts.keys()) {
      for (const endpoint of this.endpointsHolding(partId)) {
        held.push({ partId, endpoint });
      }
      if (held.length >= MAX_SNAPSHOT) {
        break;
      }
    }
    return held;
  }

  /** Endpoints that hold the part. */
  endpointsHolding(partId: string): ReadonlySet<string> {
    const oldest = this.#clock.monotonicMs() - this.#holdMs;
    const found = new Set<string>();
    for (const [endpoint, { usedMs }] of this.#parts.peek(partId) ?? []) {
      if (usedMs >= oldest) {
        found.add(endpoint);
      }
    }
    return found;
  }

  /** Forgets that an endpoint holds the part. */
  lost({ partId, endpoint }: CachedPart): void {
    this.#parts.get(partId)?.delete(endpoint);
  }

  #use({ partId, endpoint }: CachedPart): Holding {
    let endpoints = this.#parts.get(partId);
    if (endpoints === undefined) {
      endpoints = new Map();
      this.#parts.set(partId, endpoints);
    }
    const holding = endpoints.get(endpoint) ??
      { usedMs: 0, toldMs: Number.NEGATIVE_INFINITY };
    holding.usedMs = this.#clock.monotonicMs();
    endpoints.set(endpoint, holding);
    return holding;
  }
}
