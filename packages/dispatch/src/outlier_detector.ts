import type { Clock } from "@limpetshed/base";

/** Initial backoff for an unreachable endpoint; a small multiple of a typical
 * target latency. */
const INITIAL_BACKOFF_MS = 400;
/** Upper bound of the backoff, so that a recovered endpoint is used again
 * soon. */
const MAX_BACKOFF_MS = 3_000;
/** Rejections in a row from which on an endpoint is avoided: one that is full
 * also serves some requests in between. */
const MIN_REJECTION_STREAK = 3;
/** Smoothing factor of the moving average of the failure rate. */
const FAILURE_RATE_WEIGHT = 0.15;
/** Excess over the median failure rate above which an endpoint is avoided; well
 * above the random variation that `FAILURE_RATE_WEIGHT` leaves. */
const MAX_EXCESS_FAILURE_RATE = 0.3;
/** Outcomes needed before the failure rate is used. */
const MIN_OUTCOMES = 4;

/** Smoothing factor of the moving average of the time to response headers. */
const HEADERS_TIME_WEIGHT = 0.25;
/** Responses needed before the mean time is used. */
const MIN_RESPONSES = 3;
/** Multiple of the median endpoint's mean time above which an endpoint is slow;
 * more than processing a long uncached prompt adds. */
const SLOW_MULTIPLE = 3;
/** Added to that multiple; processing a prompt of 12,000 tokens takes 75 ms. */
const SLOW_MARGIN_MS = 100;
/** A slow endpoint is tried again after this time without a response. */
const SLOW_BACKOFF_MS = 2_500;

interface EndpointStats {
  /** Connection failures since the last response. */
  failureStreak: number;
  /** Rejections since the last request that the endpoint took. */
  rejectionStreak: number;
  backoffUntilMs: number;
  /** Moving average of failures, 0 to 1. */
  failureRate: number;
  /** Number of recorded outcomes. */
  outcomes: number;
  /** Moving average of the time to response headers. */
  meanHeadersMs: number;
  /** Number of responses whose headers arrived. */
  responses: number;
  lastHeadersAtMs: number;
}

/**
 * Passive outlier detection: finds endpoints that are unreachable, reject what
 * they get, fail more often or respond more slowly than the others of their
 * service. Uses only the
 * outcomes of this node's own requests, since health checks may pass on a
 * failing endpoint or fail on a working one. Backoffs grow, so that an endpoint
 * that stays down delays few requests, up to a short maximum, so that one that
 * recovers is used again soon. Endpoints are identified by their `key`.
 */
export class OutlierDetector {
  readonly #clock: Clock;
  readonly #statsByKey = new Map<string, EndpointStats>();

  constructor({ clock }: { clock: Clock }) {
    this.#clock = clock;
  }

  /** Records that an endpoint's response was delivered to the caller; ends its
   * backoff. */
  recordDelivered(endpoint: string): void {
    const stats = this.#statsByKey.get(endpoint);
    if (stats !== undefined) {
      stats.failureStreak = 0;
      stats.backoffUntilMs = 0;
      this.#recordOutcome(stats, 0);
    }
  }

  /** Records that an endpoint was unreachable or cut off its response. */
  recordConnectionFailure(endpoint: string): void {
    const stats = this.#statsOf(endpoint);
    stats.failureStreak += 1;
    this.#recordOutcome(stats, 1);
    this.#startBackoff(stats, stats.failureStreak - 1);
  }

  /** Records that an endpoint rejected a request. An endpoint that rejects all it
   * gets answers fastest and has the fewest requests in flight, so without a
   * backoff it would be chosen most. */
  recordRejected(endpoint: string): void {
    const stats = this.#statsOf(endpoint);
    stats.rejectionStreak += 1;
    if (stats.rejectionStreak >= MIN_REJECTION_STREAK) {
      this.#startBackoff(stats, stats.rejectionStreak - MIN_REJECTION_STREAK);
    }
  }

  /** Records that an endpoint began to run a request; ends a backoff after
   * rejections. */
  recordAccepted(endpoint: string): void {
    const stats = this.#statsByKey.get(endpoint);
    if (stats !== undefined && stats.rejectionStreak > 0) {
      stats.rejectionStreak = 0;
      if (stats.failureStreak === 0) {
        stats.backoffUntilMs = 0;
      }
    }
  }

  /** Records a failed request: an error response or a timeout. */
  recordFailedRequest(endpoint: string): void {
    this.#recordOutcome(this.#statsOf(endpoint), 1);
  }

  /** Records the time until the response headers arrived, milliseconds. */
  recordHeadersTime(endpoint: string, durationMs: number): void {
    const stats = this.#statsOf(endpoint);
    const weight = stats.responses === 0 ? 1 : HEADERS_TIME_WEIGHT;
    stats.meanHeadersMs += weight * (durationMs - stats.meanHeadersMs);
    stats.responses += 1;
    stats.lastHeadersAtMs = this.#clock.monotonicMs();
  }

  /** Records that no headers had arrived after this time, milliseconds, when
   * another endpoint answered the request, though it got it later. That the
   * headers take longer is all that is known, so it never lowers the mean. */
  recordOvertaken(endpoint: string, elapsedMs: number): void {
    const { meanHeadersMs } = this.#statsOf(endpoint);
    this.recordHeadersTime(endpoint, Math.max(elapsedMs, meanHeadersMs));
  }

  /** Returns the keys of the endpoints to avoid. `endpoints` are the keys to
   * compare, all of one service. */
  outliers(endpoints: readonly string[]): ReadonlySet<string> {
    const now = this.#clock.monotonicMs();
    const allStats = endpoints.map((key) => this.#statsByKey.get(key));
    const medianFailureRate = median(
      allStats.map((stats) => stats?.failureRate ?? 0),
    );
    const medianHeadersMs = median(
      allStats.map((stats) => stats?.meanHeadersMs ?? 0),
    );
    const outliers = new Set<string>();
    allStats.forEach((stats, index) => {
      if (
        stats !== undefined && (
          stats.backoffUntilMs > now ||
          hasHighFailureRate(stats, medianFailureRate) ||
          isSlow(stats, { medianHeadersMs, now })
        )
      ) {
        outliers.add(endpoints[index]!);
      }
    });
    return outliers;
  }

  /** Discards the state of a removed endpoint. */
  forget(endpoint: string): void {
    this.#statsByKey.delete(endpoint);
  }

  #startBackoff(stats: EndpointStats, doublings: number): void {
    const backoffMs = Math.min(
      MAX_BACKOFF_MS,
      INITIAL_BACKOFF_MS * 2 ** doublings,
    );
    stats.backoffUntilMs = Math.max(
      stats.backoffUntilMs,
      this.#clock.monotonicMs() + backoffMs,
    );
  }

  #recordOutcome(stats: EndpointStats, failure: 0 | 1): void {
    stats.outcomes += 1;
    stats.failureRate += FAILURE_RATE_WEIGHT * (failure - stats.failureRate);
  }

  #statsOf(endpoint: string): EndpointStats {
    let stats = this.#statsByKey.get(endpoint);
    if (stats === undefined) {
      stats = {
        failureStreak: 0,
        rejectionStreak: 0,
        backoffUntilMs: 0,
        failureRate: 0,
        outcomes: 0,
        meanHeadersMs: 0,
        responses: 0,
        lastHeadersAtMs: 0,
      };
      this.#statsByKey.set(endpoint, stats);
    }
    return stats;
  }
}

function hasHighFailureRate(
  stats: EndpointStats,
  medianFailureRate: number,
): boolean {
  return stats.outcomes >= MIN_OUTCOMES &&
    stats.failureRate > medianFailureRate + MAX_EXCESS_FAILURE_RATE;
}

function isSlow(
  stats: EndpointStats,
  { medianHeadersMs, now }: { medianHeadersMs: number; now: number },
): boolean {
  return stats.responses >= MIN_RESPONSES &&
    now - stats.lastHeadersAtMs <= SLOW_BACKOFF_MS &&
    stats.meanHeadersMs > SLOW_MULTIPLE * medianHeadersMs + SLOW_MARGIN_MS;
}

/** Lower median; unlike a mean it is not shifted by a few outliers. */
function median(values: number[]): number {
  values.sort((a, b) => a - b);
  return values[Math.floor((values.length - 1) / 2)] ?? 0;
}
