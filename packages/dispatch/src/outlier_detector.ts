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

/** Weight of the newest time to the head of an answer in the mean. */
const HEAD_WEIGHT = 0.25;
/** Answers before the mean time is believed. */
const MIN_HEADS = 3;
/** Multiple of the median endpoint's mean time that counts as slow: above what
 * reading a long prompt anew adds. */
const SLOW_MULTIPLE = 3;
/** Added to that multiple, milliseconds; a prompt of 12,000 tokens takes 75. */
const SLOW_MARGIN_MS = 100;
/** A slow endpoint is tried again after this time without an answer. */
const SLOW_AVOID_MS = 2_500;

interface Record {
  streak: number;
  avoidUntilMs: number;
  failedShare: number;
  outcomes: number;
  headMs: number;
  heads: number;
  headAtMs: number;
}

/**
 * Answers endpoints that fail while their health check is good, and health
 * checks that lie: only what this node's own requests met counts. An avoided
 * endpoint gets a request again when its time is over, and one that fails all
 * requests keeps nobody waiting for long.
 */
export class OutlierDetector {
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

  /** Notes how long the head of an answer took, milliseconds. */
  headersReceived(endpoint: string, headMs: number): void {
    const record = this.#record(endpoint);
    const weight = record.heads === 0 ? 1 : HEAD_WEIGHT;
    record.headMs += weight * (headMs - record.headMs);
    record.heads += 1;
    record.headAtMs = this.#clock.monotonicMs();
  }

  /** Those of `endpoints` instead of which another should be taken. */
  outliers(endpoints: readonly string[]): ReadonlySet<string> {
    const now = this.#clock.monotonicMs();
    const records = endpoints.map((key) => this.#records.get(key));
    const usualShare = median(
      records.map((record) => record?.failedShare ?? 0),
    );
    const usualHeadMs = median(records.map((record) => record?.headMs ?? 0));
    const found = new Set<string>();
    records.forEach((record, at) => {
      if (
        record !== undefined && (
          record.avoidUntilMs > now ||
          isSick(record, usualShare) ||
          isSlow(record, { usualHeadMs, now })
        )
      ) {
        found.add(endpoints[at]!);
      }
    });
    return found;
  }

  /** Forgets an endpoint that is gone. */
  forget(endpoint: string): void {
    this.#records.delete(endpoint);
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
      record = {
        streak: 0,
        avoidUntilMs: 0,
        failedShare: 0,
        outcomes: 0,
        headMs: 0,
        heads: 0,
        headAtMs: 0,
      };
      this.#records.set(endpoint, record);
    }
    return record;
  }
}

function isSick(record: Record, usualShare: number): boolean {
  return record.outcomes >= MIN_OUTCOMES &&
    record.failedShare > usualShare + SICK_EXCESS;
}

function isSlow(
  record: Record,
  { usualHeadMs, now }: { usualHeadMs: number; now: number },
): boolean {
  return record.heads >= MIN_HEADS && now - record.headAtMs <= SLOW_AVOID_MS &&
    record.headMs > SLOW_MULTIPLE * usualHeadMs + SLOW_MARGIN_MS;
}

/** The median, so that a few sick endpoints do not hide each other. */
function median(values: number[]): number {
  values.sort((a, b) => a - b);
  return values[Math.floor((values.length - 1) / 2)] ?? 0;
}
