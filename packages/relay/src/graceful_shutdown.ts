import type { Clock } from "@limpetshed/base";
import type { Route } from "@limpetshed/routing";

/** Time until the load balancer detects that this node is not ready: two
 * readiness checks, one per second, and their responses. */
export const UNREADY_DETECTION_MS = 2_900;
/** Fraction of the grace period used for draining; the rest is for closing. */
const DRAIN_FRACTION = 0.95;

/**
 * Decides which requests a node still accepts during a graceful shutdown, for
 * rolling restarts under load. Until the load balancer has noticed, it accepts
 * all of them; after that only those that will end in time. The others are
 * refused immediately, so that clients retry on another node.
 */
export class GracefulShutdown {
  readonly #clock: Clock;
  #startedMs: number | undefined;
  /** Part of the grace period used for draining. */
  #drainMs = 0;

  constructor({ clock }: { clock: Clock }) {
    this.#clock = clock;
  }

  /** Whether the shutdown has begun. */
  get isStopping(): boolean {
    return this.#startedMs !== undefined;
  }

  /** Begins a shutdown that must finish within `graceMs`. */
  begin(graceMs: number): void {
    this.#startedMs = this.#clock.monotonicMs();
    this.#drainMs = graceMs * DRAIN_FRACTION;
  }

  /** Milliseconds left for draining; infinite before the shutdown. */
  get leftMs(): number {
    return this.#startedMs === undefined
      ? Number.POSITIVE_INFINITY
      : this.#startedMs + this.#drainMs - this.#clock.monotonicMs();
  }

  /** Whether a request of `route` that arrives now is accepted. */
  accepts({ kind, timeoutMs }: Pick<Route, "kind" | "timeoutMs">): boolean {
    if (this.#startedMs === undefined) {
      return true;
    }
    const elapsedMs = this.#clock.monotonicMs() - this.#startedMs;
    return elapsedMs <= UNREADY_DETECTION_MS ||
      (kind !== "stream" && timeoutMs <= this.leftMs);
  }
}
