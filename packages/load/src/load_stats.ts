import { build, type Histogram } from "hdr-histogram-js";
import type { CallResult } from "./chat_caller.ts";

/** One second of a run. */
export interface LoadSecond {
  sent: number;
  ok: number;
  failed: number;
  promptTokens: number;
  cachedTokens: number;
  firstTokenMaxMs: number;
}

/** Percentiles of one quantity in milliseconds. */
export interface Percentiles {
  p50: number;
  p95: number;
  p99: number;
  max: number;
  count: number;
}

/** Summary of a run. */
export interface LoadSummary {
  seconds: number;
  sent: number;
  outcomes: Record<string, number>;
  requestsPerSecond: number;
  /** Cached prompt tokens over prompt tokens. */
  cacheReuse: number;
  firstToken: Percentiles;
  betweenTokens: Percentiles;
  total: Percentiles;
  perSecond: LoadSecond[];
}

const MICROSECONDS_PER_MS = 1_000;
const HIGHEST_US = 600_000_000;

/** Collects results. */
export class LoadStats {
  readonly #firstToken = histogram();
  readonly #gaps = histogram();
  readonly #total = histogram();
  readonly #outcomes = new Map<string, number>();
  readonly #seconds: LoadSecond[] = [];
  #promptTokens = 0;
  #cachedTokens = 0;
  #sent = 0;

  /** Adds the result of a request sent `atMs` after the start. */
  add(atMs: number, result: CallResult): void {
    this.#sent += 1;
    const { outcome, firstTokenMs, totalMs, gapsMs } = result;
    this.#outcomes.set(outcome, (this.#outcomes.get(outcome) ?? 0) + 1);
    const second = this.#second(Math.floor(atMs / 1_000));
    second.sent += 1;
    if (outcome === "ok") {
      second.ok += 1;
      record(this.#total, totalMs);
    } else {
      second.failed += 1;
    }
    if (firstTokenMs !== undefined) {
      record(this.#firstToken, firstTokenMs);
      second.firstTokenMaxMs = Math.max(second.firstTokenMaxMs, firstTokenMs);
    }
    gapsMs.forEach((ms) => record(this.#gaps, ms));
    this.#promptTokens += result.promptTokens;
    this.#cachedTokens += result.cachedTokens;
    second.promptTokens += result.promptTokens;
    second.cachedTokens += result.cachedTokens;
  }

  /** Sums up a run of `seconds`. */
  summary(seconds: number): LoadSummary {
    return {
      seconds,
      sent: this.#sent,
      outcomes: Object.fromEntries([...this.#outcomes].sort()),
      requestsPerSecond: this.#sent / seconds,
      cacheReuse: this.#cachedTokens / Math.max(1, this.#promptTokens),
      firstToken: percentiles(this.#firstToken),
      betweenTokens: percentiles(this.#gaps),
      total: percentiles(this.#total),
      perSecond: this.#seconds,
    };
  }

  #second(index: number): LoadSecond {
    while (this.#seconds.length <= index) {
      this.#seconds.push({
        sent: 0,
        ok: 0,
        failed: 0,
        promptTokens: 0,
        cachedTokens: 0,
        firstTokenMaxMs: 0,
      });
    }
    return this.#seconds[index]!;
  }
}

function histogram(): Histogram {
  return build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: HIGHEST_US,
    numberOfSignificantValueDigits: 3,
  });
}

function record(target: Histogram, ms: number): void {
  target.recordValue(
    Math.min(HIGHEST_US, Math.max(1, Math.round(ms * MICROSECONDS_PER_MS))),
  );
}

function percentiles(source: Histogram): Percentiles {
  const at = (percentile: number) =>
    source.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS;
  return {
    p50: at(50),
    p95: at(95),
    p99: at(99),
    max: source.maxValue / MICROSECONDS_PER_MS,
    count: source.totalCount,
  };
}
