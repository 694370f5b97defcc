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

/** What a node has used of its part of a service's budget within the window. */
export interface RetryUsage {
  /** Requests of this node. */
  requests: number;
  /** Retries of this node. */
  retries: number;
  /** Retries that these requests allow; a fraction of one counts for nothing. */
  allowed: number;
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
    const { retries, allowed } = this.usage(service);
    if (retries + 1 > allowed) {
      return false;
    }
    this.#counts(service).retries.add();
    return true;
  }

  /** Returns a retry that was consumed but not sent. */
  giveBack(service: string): void {
    this.#counts(service).retries.removeLast();
  }

  /** What decides whether the next retry is allowed. */
  usage(service: string): RetryUsage {
    const { requests, retries } = this.#counts(service);
    const { ratio, slack } = this.#limits;
    const slackShare = slack / Math.max(1, this.#nodeCount());
    return {
      requests: requests.value,
      retries: retries.value,
      allowed: LIMIT_FRACTION * (ratio * requests.value + slackShare),
    };
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
