import type { Clock } from "@limpetshed/base";

/** Options of {@linkcode SmallChunkLimiter}. */
export interface SmallChunkLimiterOptions {
  clock: Clock;
  /** Bodies that may come in many small chunks at once. */
  maxBodies?: number;
  /** Small chunks that any body may have. */
  freeChunks?: number;
}

const MAX_BODIES = 2;
const FREE_CHUNKS = 4_096;
/** Bytes that a chunk has to carry for the work that it causes. */
const BYTES_PER_CHUNK = 128;
/** Time without a chunk after which a body gives its place away. */
const PLACE_MS = 1_000;
/** Chunks between two looks at the clock. */
const CHECK_INTERVAL_CHUNKS = 256;

/** Counts the chunks of one body. */
export class ChunkCounter {
  readonly #limiter: SmallChunkLimiter;
  #chunks = 0;

  /** Made by {@linkcode SmallChunkLimiter.open}. */
  constructor(limiter: SmallChunkLimiter) {
    this.#limiter = limiter;
  }

  /** Counts a chunk of a body that has `bodyBytes` bytes with it; returns false if
   * the body may not go on. */
  add(bodyBytes: number): boolean {
    this.#chunks += 1;
    return this.#chunks % CHECK_INTERVAL_CHUNKS !== 0 ||
      this.#chunks - bodyBytes / BYTES_PER_CHUNK <= this.#limiter.freeChunks ||
      this.#limiter.tryTakePlace(this);
  }

  /** Gives the body's place back. Idempotent. */
  close(): void {
    this.#limiter.leave(this);
  }
}

/**
 * Bounds the work that many bodies in very small chunks cause at once: for each
 * chunk the HTTP parser takes far more processor time and memory than it carries.
 * A few such bodies at a time are read to their end; any further one may send so
 * many small chunks and not more.
 */
export class SmallChunkLimiter {
  readonly freeChunks: number;
  readonly #clock: Clock;
  readonly #maxBodies: number;
  /** Monotonic time at which each body with a place was seen last. */
  readonly #places = new Map<ChunkCounter, number>();

  constructor(
    { clock, maxBodies = MAX_BODIES, freeChunks = FREE_CHUNKS }:
      SmallChunkLimiterOptions,
  ) {
    this.#clock = clock;
    this.#maxBodies = maxBodies;
    this.freeChunks = freeChunks;
  }

  /** Opens the count of a body. */
  open(): ChunkCounter {
    return new ChunkCounter(this);
  }

  /** Gives a body a place, or keeps it; returns false if there is none. */
  tryTakePlace(body: ChunkCounter): boolean {
    const nowMs = this.#clock.monotonicMs();
    if (!this.#places.has(body) && this.#places.size >= this.#maxBodies) {
      const stale = [...this.#places]
        .find(([, seenMs]) => nowMs - seenMs >= PLACE_MS);
      if (stale === undefined) {
        return false;
      }
      this.#places.delete(stale[0]);
    }
    this.#places.set(body, nowMs);
    return true;
  }

  /** Records that a body has ended. */
  leave(body: ChunkCounter): void {
    this.#places.delete(body);
  }
}
