import type { Clock } from "@limpetshed/base";
import { comparePositions, type StorePosition } from "@limpetshed/mirror";

/** Options of {@linkcode LagDetector}. */
export interface LagDetectorOptions {
  clock: Clock;
  /** Lag up to which a node counts as current, milliseconds. */
  maxLagMs: number;
}

/**
 * Tells whether a node is late to learn of positions that other nodes have reached.
 * Where something changes all the time there is always a node that is ahead, so the
 * time is measured that this node takes to reach a position that it has heard of.
 */
export class LagDetector {
  readonly #options: LagDetectorOptions;
  #awaited: { position: StorePosition; sinceMs: number } | undefined;

  constructor(options: LagDetectorOptions) {
    this.#options = options;
  }

  /** Whether this node, which is at `own`, lags behind the `newest` position of the
   * others. To be called regularly. */
  isLagging(
    { own, newest }: {
      own: StorePosition;
      newest: StorePosition;
    },
  ): boolean {
    const { clock, maxLagMs } = this.#options;
    if (
      this.#awaited === undefined ||
      comparePositions(this.#awaited.position, own) <= 0
    ) {
      this.#awaited = comparePositions(newest, own) > 0
        ? { position: newest, sinceMs: clock.monotonicMs() }
        : undefined;
    }
    return this.#awaited !== undefined &&
      clock.monotonicMs() - this.#awaited.sinceMs >= maxLagMs;
  }
}
