import type { Clock } from "@limpetshed/base";
import { SlidingWindowCounter } from "./sliding_window_counter.ts";

/** The fleet's limit on sends beyond the first of each request. */
export interface RetryLimits {
  /** Repeats allowed per request of the window. */
  ratio: number;
  /** Repeats allowed besides, all nodes together. */
  slack: number;
  /** Length of the window, milliseconds. */
  windowMs: number;
}

/** Part of the ratio and the slack that is used, so that requests which the
 * fleet counts in another window than this node still fit. */
const USED_PART = 0.7;

/**
 * Answers a service that fails many requests at once: repeats of all nodes
 * together stay within the limit whatever the nodes know of each other, since
 * each uses the ratio of its own requests and an equal part of the slack.
 */
export class RetryBudget {
  readonly #clock: Clock;
  readonly #limits: RetryLimits;
  readonly #nodes: () => number;
  readonly #services = new Map<
    string,
    { requests: SlidingWindowCounter; repeats: SlidingWindowCounter }
  >();

  constructor({ clock, limits, nodes }: {
    clock: Clock;
    limits: RetryLimits;
    /** Nodes that may exist. */
    nodes: () => number;
  }) {
    this.#clock = clock;
    this.#limits = limits;
    this.#nodes = nodes;
  }

  /** Counts a request for `service`. */
  recordRequest(service: string): void {
    this.#counts(service).requests.add();
  }

  /** Takes one repeat if there is one left. */
  tryRetry(service: string): boolean {
    const { requests, repeats } = this.#counts(service);
    const { ratio, slack } = this.#limits;
    const share = slack / Math.max(1, this.#nodes());
    if (repeats.value + 1 > USED_PART * (ratio * requests.value + share)) {
      return false;
    }
    repeats.add();
    return true;
  }

  #counts(service: string) {
    let counts = this.#services.get(service);
    if (counts === undefined) {
      const { windowMs } = this.#limits;
      const clock = this.#clock;
      counts = {
        requests: new SlidingWindowCounter({ clock, windowMs }),
        repeats: new SlidingWindowCounter({ clock, windowMs }),
      };
      this.#services.set(service, counts);
    }
    return counts;
  }
}
