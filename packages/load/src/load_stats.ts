import { build, type Histogram } from "hdr-histogram-js";
import type { ChatRequestResult } from "./send_chat_request.ts";

/** Counters of the requests sent in one second of a run. */
export interface SecondStats {
  sent: number;
  ok: number;
  failed: number;
  promptTokens: number;
  cachedTokens: number;
  firstTokenMaxMs: number;
}

/** Percentiles of a latency distribution, in milliseconds. */
export interface Percentiles {
  p50: number;
  p95: number;
  p99: number;
  max: number;
  count: number;
}

/** Aggregated results of a run. */
export interface LoadSummary {
  seconds: number;
  sent: number;
  outcomes: Record<string, number>;
  requestsPerSecond: number;
  /** Fraction of prompt tokens that were read from the cache. */
  cacheReuse: number;
  firstToken: Percentiles;
  betweenTokens: Percentiles;
  total: Percentiles;
  perSecond: SecondStats[];
}

const MICROSECONDS_PER_MS = 1_000;
const MAX_LATENCY_US = 600_000_000;

/** Aggregates request results into counters and latency histograms. */
export class LoadStats {
  readonly #firstToken = createLatencyHistogram();
  readonly #interToken = createLatencyHistogram();
  readonly #total = createLatencyHistogram();
  readonly #outcomes = new Map<string, number>();
  readonly #seconds: SecondStats[] = [];
  #promptTokens = 0;
  #cachedTokens = 0;
  #sent = 0;

  /** Adds the result of a request sent `sentAtMs` after the start. */
  add(sentAtMs: number, result: ChatRequestResult): void {
    this.#sent += 1;
    const { outcome, firstTokenMs, totalMs, interTokenMs: gapsMs } = result;
    this.#outcomes.set(outcome, (this.#outcomes.get(outcome) ?? 0) + 1);
    const second = this.#statsForSecond(Math.floor(sentAtMs / 1_000));
    second.sent += 1;
    if (outcome === "ok") {
      second.ok += 1;
      recordLatency(this.#total, totalMs);
    } else {
      second.failed += 1;
    }
    if (firstTokenMs !== undefined) {
      recordLatency(this.#firstToken, firstTokenMs);
      second.firstTokenMaxMs = Math.max(second.firstTokenMaxMs, firstTokenMs);
    }
    gapsMs.forEach((ms) => recordLatency(this.#interToken, ms));
    this.#promptTokens += result.promptTokens;
    this.#cachedTokens += result.cachedTokens;
    second.promptTokens += result.promptTokens;
    second.cachedTokens += result.cachedTokens;
  }

  /** Summarizes a run that lasted `seconds`. */
  summarize(seconds: number): LoadSummary {
    return {
      seconds,
      sent: this.#sent,
      outcomes: Object.fromEntries([...this.#outcomes].sort()),
      requestsPerSecond: this.#sent / seconds,
      cacheReuse: this.#cachedTokens / Math.max(1, this.#promptTokens),
      firstToken: readPercentiles(this.#firstToken),
      betweenTokens: readPercentiles(this.#interToken),
      total: readPercentiles(this.#total),
      perSecond: this.#seconds,
    };
  }

  #statsForSecond(index: number): SecondStats {
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

function createLatencyHistogram(): Histogram {
  return build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: MAX_LATENCY_US,
    numberOfSignificantValueDigits: 3,
  });
}

function recordLatency(target: Histogram, ms: number): void {
  target.recordValue(
    Math.min(MAX_LATENCY_US, Math.max(1, Math.round(ms * MICROSECONDS_PER_MS))),
  );
}

function readPercentiles(source: Histogram): Percentiles {
  const percentileMs = (percentile: number) =>
    source.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS;
  return {
    p50: percentileMs(50),
    p95: percentileMs(95),
    p99: percentileMs(99),
    max: source.maxValue / MICROSECONDS_PER_MS,
    count: source.totalCount,
  };
}
