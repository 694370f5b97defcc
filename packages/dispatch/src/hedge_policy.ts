import type { Clock } from "@limpetshed/base";
import { percentile, RecentTimes } from "./recent_times.ts";

/** Options of {@linkcode HedgePolicy}. */
export interface HedgePolicyOptions {
  clock: Clock;
  /** Second sends allowed per request of a service, 0 to 1; none at 0, the
   * default. */
  share?: number;
}

/** What requests are compared with: those of their route, or of their service. */
export interface HedgeKind {
  service: string;
  /** Name of the route. */
  route: string;
}

/** When a request is sent a second time. */
export interface HedgeTimes {
  /** Time after which the request is slower than nearly all of its kind,
   * milliseconds. */
  delayMs: number;
  /** Median time that a request of this kind takes, milliseconds. */
  usualMs: number;
}

/** Times that are kept for each route and each service: few, since those of a
 * load that is over hide what is slow now. */
const MAX_TIMES = 32;
/** Times needed before a percentile is taken. */
const MIN_TIMES = 20;
/** Age from which a time says nothing of the current load. */
const MAX_TIME_AGE_MS = 30_000;
/** Below this, requests differ by the network alone. */
const MIN_DELAY_MS = 20;
/** Least percentile: a smaller share of second sends goes to slower requests, as
 * far as the number of times allows. */
const MIN_PERCENTILE = 0.9;
/** Second sends that may be saved up, so that a long calm allows no burst. */
const MAX_CREDIT = 2;
/** Absorbs what adding up a share many times loses. */
const CREDIT_ROUNDING = 1e-9;

/**
 * Decides when a request that may run twice is so slow that a second send is worth
 * extra work, and whether the share of requests that the operator allows for it
 * has one left. Answers single slow endpoints; when all turn slow at once, the
 * share bounds the extra work. Each node uses the share of its own requests, so
 * the fleet stays within it without coordination.
 */
export class HedgePolicy {
  readonly #clock: Clock;
  readonly #share: number;
  readonly #credits = new Map<string, number>();
  readonly #times = new Map<string, RecentTimes>();

  constructor({ clock, share = 0 }: HedgePolicyOptions) {
    this.#clock = clock;
    this.#share = share;
  }

  /** Whether any request may be sent a second time. */
  get isEnabled(): boolean {
    return this.#share > 0;
  }

  /** Records a request to `service`, which adds to its credit. */
  recordRequest(service: string): void {
    this.#addCredit(service, this.#share);
  }

  /** Records the time that a request took, milliseconds, or that it had taken when
   * it was cancelled. */
  recordTime({ service, route }: HedgeKind, durationMs: number): void {
    if (this.isEnabled) {
      this.#timesOf(routeKey({ service, route })).record(durationMs);
      this.#timesOf(service).record(durationMs);
    }
  }

  /** When a request of this kind is sent a second time; undefined if it is not, or
   * too little is known of its kind. */
  times(kind: HedgeKind): HedgeTimes | undefined {
    if (!this.isEnabled) {
      return undefined;
    }
    const sorted = [routeKey(kind), kind.service]
      .map((key) => this.#timesOf(key).sorted())
      .find(({ length }) => length >= MIN_TIMES);
    if (sorted === undefined) {
      return undefined;
    }
    const fraction = Math.max(MIN_PERCENTILE, 1 - this.#share);
    return {
      delayMs: Math.max(MIN_DELAY_MS, percentile(sorted, fraction)),
      usualMs: percentile(sorted, 0.5),
    };
  }

  /** Takes one second send from the credit of `service`; returns whether it has
   * one. */
  tryTake(service: string): boolean {
    const credit = this.#credits.get(service) ?? 0;
    if (credit < 1 - CREDIT_ROUNDING) {
      return false;
    }
    this.#credits.set(service, credit - 1);
    return true;
  }

  /** Returns a second send that was taken but not sent. */
  giveBack(service: string): void {
    this.#addCredit(service, 1);
  }

  #addCredit(service: string, credit: number): void {
    const sum = (this.#credits.get(service) ?? 0) + credit;
    this.#credits.set(service, Math.min(MAX_CREDIT, sum));
  }

  #timesOf(key: string): RecentTimes {
    let times = this.#times.get(key);
    if (times === undefined) {
      times = new RecentTimes({
        clock: this.#clock,
        capacity: MAX_TIMES,
        maxAgeMs: MAX_TIME_AGE_MS,
      });
      this.#times.set(key, times);
    }
    return times;
  }
}

/** Names of services contain no line breaks. */
function routeKey({ service, route }: HedgeKind): string {
  return `${service}\n${route}`;
}
