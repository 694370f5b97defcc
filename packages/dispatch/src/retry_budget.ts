import type { Clock } from "@limpetshed/base";
import { SlidingWindowCounter } from "./sliding_window_counter.ts";

/** Fleet-wide limit on retries of one service. */
export interface RetryLimits {
  /** Retries allowed per request within the window. */
  ratio: number;
  /** Retries allowed in addition, for all nodes together. */
  slack: number;
  /** Length of the sliding window, milliseconds. */
  windowMs: number;
}

/** Fraction of the limit that is used. The rest is a margin: a request or
 * retry near the edge of a window may be inside the window of this node and
 * outside that of a fleet-wide count, or the reverse. */
const LIMIT_FRACTION = 0.7;

/**
 * Limits retries per service, to prevent retry storms when a service fails many
 * requests at once. Each node uses the ratio of its own requests and an equal
 * part of the slack, so the fleet stays within its limit without coordination.
 */
export class RetryBudget {
  readonly #clock: Clock;
  readonly #limits: RetryLimits;
  readonly #nodeCount: () => number;
  readonly #services = new Map<
    string,
    { requests: SlidingWindowCounter; retries: SlidingWindowCounter }
  >();

  constructor({ clock, limits, nodeCount }: {
    clock: Clock;
    limits: RetryLimits;
    /** Upper bound on the number of nodes in the fleet. */
    nodeCount: () => number;
  }) {
    this.#clock = clock;
    this.#limits = limits;
    this.#nodeCount = nodeCount;
  }

  /** Records a request to `service`. */
  recordRequest(service: string): void {
    this.#counts(service).requests.add();
  }

  /** Consumes one retry if the budget has one left; returns whether it did. */
  tryConsume(service: string): boolean {
    const { requests, retries } = this.#counts(service);
    const { ratio, slack } = this.#limits;
    const slackShare = slack / Math.max(1, this.#nodeCount());
    if (
      retries.value + 1 > LIMIT_FRACTION * (ratio * requests.value + slackShare)
    ) {
      return false;
    }
    retries.add();
    return true;
  }

  #counts(service: string) {
    let counts = this.#services.get(service);
    if (counts === undefined) {
      const { windowMs } = this.#limits;
      const clock = this.#clock;
      counts = {
        requests: new SlidingWindowCounter({ clock, windowMs }),
        retries: new SlidingWindowCounter({ clock, windowMs }),
      };
      this.#services.set(service, counts);
    }
    return counts;
  }
}
