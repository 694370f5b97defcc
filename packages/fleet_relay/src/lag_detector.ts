import type { Clock } from "@limpetshed/base";

/** Options of {@linkcode LagDetector}. */
export interface LagDetectorOptions {
  clock: Clock;
  /** Lag up to which a node counts as current, milliseconds. */
  maxLagMs: number;
}

/**
 * Tells whether a node is late to learn of revisions that other nodes know. Where
 * something changes all the time there is always a node with a higher revision, so
 * the time is measured that this node takes to reach one that it has heard of.
 */
export class LagDetector {
  readonly #options: LagDetectorOptions;
  #awaited: { revision: number; sinceMs: number } | undefined;

  constructor(options: LagDetectorOptions) {
    this.#options = options;
  }

  /** Whether this node, which knows `ownRevision`, lags behind `newestRevision` of
   * the others. To be called regularly. */
  isLagging(
    { ownRevision, newestRevision }: {
      ownRevision: number;
      newestRevision: number;
    },
  ): boolean {
    const { clock, maxLagMs } = this.#options;
    if (this.#awaited === undefined || this.#awaited.revision <= ownRevision) {
      this.#awaited = newestRevision > ownRevision
        ? { revision: newestRevision, sinceMs: clock.monotonicMs() }
        : undefined;
    }
    return this.#awaited !== undefined &&
      clock.monotonicMs() - this.#awaited.sinceMs >= maxLagMs;
  }
}
