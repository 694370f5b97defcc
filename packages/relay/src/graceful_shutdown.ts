import type { Clock } from "@limpetshed/base";
import type { Route } from "@limpetshed/routing";

/** Time until the load balancer detects that this node is not ready: two
 * readiness checks, one per second, and their responses. */
const UNREADY_DETECTION_MS = 2_900;
/** Fraction of the grace period in which all requests are accepted at most. */
const ACCEPT_ALL_FRACTION = 0.5;
/** Fraction of the grace period used for draining; the rest is for answering and
 * closing. */
const DRAIN_FRACTION = 0.95;
/** Fraction in which the last responses are written. */
const FLUSH_FRACTION = 0.03;

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
  #flushMs = 0;
  #acceptAllMs = 0;

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
    this.#flushMs = graceMs * FLUSH_FRACTION;
    this.#acceptAllMs = Math.min(
      UNREADY_DETECTION_MS,
      graceMs * ACCEPT_ALL_FRACTION,
    );
  }

  /** Milliseconds from the beginning of the shutdown in which all requests are
   * accepted. */
  get acceptAllMs(): number {
    return this.#acceptAllMs;
  }

  /** Milliseconds left for draining; infinite before the shutdown. */
  get leftMs(): number {
    return this.#startedMs === undefined
      ? Number.POSITIVE_INFINITY
      : this.#startedMs + this.#drainMs - this.#clock.monotonicMs();
  }

  /** Milliseconds left after draining to write the last responses; infinite before
   * the shutdown. */
  get flushLeftMs(): number {
    return this.leftMs + this.#flushMs;
  }

  /** Whether a request of `route` that arrives now is accepted. */
  accepts({ kind, timeoutMs }: Pick<Route, "kind" | "timeoutMs">): boolean {
    if (this.#startedMs === undefined) {
      return true;
    }
    const elapsedMs = this.#clock.monotonicMs() - this.#startedMs;
    return elapsedMs <= this.#acceptAllMs ||
      (kind !== "stream" && timeoutMs <= this.leftMs);
  }
}
