import type { Clock } from "@limpetshed/base";
import type { Route } from "@limpetshed/routing";

/** Time from a stop until the balancer has noticed: two questions, one a
 * second, and their answers. */
export const BALANCER_NOTICE_MS = 2_900;
/** Part of the time allowed for a stop that may be used; the rest is for
 * closing. */
const GRACE_PART = 0.95;

/**
 * Answers stops in turn under load: until the balancer has noticed, this node
 * takes what it gets; after that it takes only what will end in time, and
 * refuses the rest at once, so that callers go to another node.
 */
export class StopPlan {
  readonly #clock: Clock;
  #startedMs: number | undefined;
  #graceMs = 0;

  constructor({ clock }: { clock: Clock }) {
    this.#clock = clock;
  }

  /** Whether a stop has begun. */
  get isStopping(): boolean {
    return this.#startedMs !== undefined;
  }

  /** Begins a stop that must be over within `graceMs`. */
  begin(graceMs: number): void {
    this.#startedMs = this.#clock.monotonicMs();
    this.#graceMs = graceMs * GRACE_PART;
  }

  /** Milliseconds until everything must have ended. */
  get leftMs(): number {
    return this.#startedMs === undefined
      ? Number.POSITIVE_INFINITY
      : this.#startedMs + this.#graceMs - this.#clock.monotonicMs();
  }

  /** Whether a request of `route` that arrives now is taken. */
  takes({ kind, timeoutMs }: Pick<Route, "kind" | "timeoutMs">): boolean {
    if (this.#startedMs === undefined) {
      return true;
    }
    const sinceMs = this.#clock.monotonicMs() - this.#startedMs;
    return sinceMs <= BALANCER_NOTICE_MS ||
      (kind !== "stream" && timeoutMs <= this.leftMs);
  }
}
