import type { Clock } from "@limpetshed/base";

/** First time for which an endpoint that failed is avoided, milliseconds: a
 * few target latencies. */
const FIRST_AVOID_MS = 400;
/** Longest time, so that an endpoint that is back is found soon. */
const MAX_AVOID_MS = 3_000;
/** Weight of the newest outcome in the share of failures. */
const OUTCOME_WEIGHT = 0.15;
/** Share of failures above the service's own from which an endpoint is
 * avoided; well above chance for the weight above. */
const SICK_EXCESS = 0.3;
/** Outcomes before the share of failures is believed. */
const MIN_OUTCOMES = 4;

interface Record {
  streak: number;
  avoidUntilMs: number;
  failedShare: number;
  outcomes: number;
}

/**
 * Answers endpoints that fail while their health check is good, and health
 * checks that lie: only what this node's own requests met counts. An avoided
 * endpoint gets a request again when its time is over, and one that fails all
 * requests keeps nobody waiting for long.
 */
export class SuspicionList {
  readonly #clock: Clock;
  readonly #records = new Map<string, Record>();

  constructor({ clock }: { clock: Clock }) {
    this.#clock = clock;
  }

  /** Notes that an endpoint answered a request. */
  answered(endpoint: string): void {
    const record = this.#records.get(endpoint);
    if (record !== undefined) {
      record.streak = 0;
      record.avoidUntilMs = 0;
      this.#outcome(record, 0);
    }
  }

  /** Notes that an endpoint could not be reached or broke its answer off. */
  lost(endpoint: string): void {
    const record = this.#record(endpoint);
    record.streak += 1;
    this.#outcome(record, 1);
    this.#avoid(record);
  }

  /** Notes that an endpoint ran a request and failed. */
  failed(endpoint: string): void {
    this.#outcome(this.#record(endpoint), 1);
  }

  /** Whether another endpoint of `endpoints` should be taken instead. */
  isSuspect(endpoint: string, endpoints: readonly string[]): boolean {
    const record = this.#records.get(endpoint);
    if (record === undefined) {
      return false;
    }
    if (record.avoidUntilMs > this.#clock.monotonicMs()) {
      return true;
    }
    return record.outcomes >= MIN_OUTCOMES &&
      record.failedShare > this.#usualShare(endpoints) + SICK_EXCESS;
  }

  /** Forgets an endpoint that is gone. */
  forget(endpoint: string): void {
    this.#records.delete(endpoint);
  }

  /** Median share of failures, so that a few sick endpoints do not hide. */
  #usualShare(endpoints: readonly string[]): number {
    const shares = endpoints
      .map((endpoint) => this.#records.get(endpoint)?.failedShare ?? 0)
      .sort((a, b) => a - b);
    return shares[Math.floor((shares.length - 1) / 2)] ?? 0;
  }

  #avoid(record: Record): void {
    const ms = Math.min(
      MAX_AVOID_MS,
      FIRST_AVOID_MS * 2 ** (record.streak - 1),
    );
    record.avoidUntilMs = this.#clock.monotonicMs() + ms;
  }

  #outcome(record: Record, failure: 0 | 1): void {
    record.outcomes += 1;
    record.failedShare += OUTCOME_WEIGHT * (failure - record.failedShare);
  }

  #record(endpoint: string): Record {
    let record = this.#records.get(endpoint);
    if (record === undefined) {
      record = { streak: 0, avoidUntilMs: 0, failedShare: 0, outcomes: 0 };
      this.#records.set(endpoint, record);
    }
    return record;
  }
}
