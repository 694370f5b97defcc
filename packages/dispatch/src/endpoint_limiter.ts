import { type Clock, TokenBucket } from "@limpetshed/base";
import { EndpointLimits, type LimitChange } from "./endpoint_limits.ts";
import { type FleetShare, fleetShare } from "./fleet_share.ts";
import { type ShareLoan, ShareLoans, type ShareNeed } from "./share_loans.ts";
import { SlidingWindowCounter } from "./sliding_window_counter.ts";

/** Options of {@linkcode EndpointLimiter}. */
export interface EndpointLimiterOptions {
  clock: Clock;
  nodeId: string;
  /** Ids of all nodes that may exist, including this one; a new array after each
   * change. */
  nodeIds: () => readonly string[];
  /** Time without a message from another node after which what it said last no
   * longer holds; several intervals between its messages. */
  peerTimeoutMs: () => number;
  /** Called when a limit begins, changes or ends. */
  onChange?: (change: LimitChange) => void;
}

/** A request for which only endpoints with limits are left. */
export interface LimitedRequest {
  /** Keys of the endpoints of its service. */
  endpoints: readonly string[];
  /** 0 is most urgent. */
  priority: number;
  isAboveShare: boolean;
}

/** Fraction of the limit that the shares add up to. The rest is for the moments
 * in which nodes differ about who has a share. */
const LIMIT_FRACTION = 0.9;
/** Requests at once of the whole fleet: so many, and a part of what the limit
 * allows in a second, but no more than it allows in the longer time. */
const BURST_REQUESTS = 4;
const BURST_S = 0.75;
const MAX_BURST_S = 4;
/** Fraction of the tokens of a service that is kept for more urgent requests, by
 * priority; the last entry applies to all lower priorities. */
const RESERVED_FRACTIONS = [0, 0.2, 0.4] as const;
/** Added for an account above its share. */
const ABOVE_SHARE_FRACTION = 0.2;
/** Refusals that count for `retry-after`: callers come back within seconds. */
const REFUSAL_WINDOW_MS = 2_000;
const MAX_RETRY_AFTER_MS = 10_000;
const MS_PER_SECOND = 1_000;

/**
 * Keeps the fleet within the limits that endpoints name. Each node uses its share,
 * which is safe without asking others, and what nodes that do not need theirs lend
 * it.
 */
export class EndpointLimiter {
  readonly limits: EndpointLimits;
  readonly loans: ShareLoans;
  readonly #options: EndpointLimiterOptions;
  readonly #buckets = new Map<string, TokenBucket>();
  readonly #refusals = new Map<string, SlidingWindowCounter>();
  readonly #shares = new Map<
    string,
    { nodeIds: readonly string[]; requests: number; share: FleetShare }
  >();

  constructor(options: EndpointLimiterOptions) {
    const { clock, nodeId, peerTimeoutMs, onChange } = options;
    this.#options = options;
    this.limits = new EndpointLimits({ clock, onChange });
    this.loans = new ShareLoans({ clock, nodeId, peerTimeoutMs });
  }

  /** Whether the endpoint with the key `endpoint` names a limit. */
  isLimited(endpoint: string): boolean {
    return this.limits.requestsPerS(endpoint) !== undefined;
  }

  /** Whether this node may send a request to the endpoint now. */
  allows(endpoint: string): boolean {
    const bucket = this.#bucket(endpoint);
    return bucket === undefined ||
      bucket.available(this.#options.clock.monotonicMs()) >= 1;
  }

  /** Records that a request could not be sent to the endpoint for its limit. */
  recordDenied(endpoint: string): void {
    this.loans.recordNeed(endpoint);
  }

  /** Records a request sent to the endpoint. */
  recordRequest(endpoint: string): void {
    this.#bucket(endpoint)?.take(1, this.#options.clock.monotonicMs());
  }

  /** Whether a request may use one of the remaining tokens, of which the last are
   * for urgent requests. */
  admits({ endpoints, priority, isAboveShare }: LimitedRequest): boolean {
    const now = this.#options.clock.monotonicMs();
    let tokens = 0;
    let capacity = 0;
    for (const endpoint of endpoints) {
      const bucket = this.#bucket(endpoint);
      tokens += bucket?.available(now) ?? 0;
      capacity += this.#share(endpoint).burst;
    }
    const index = Math.min(
      Math.floor(priority),
      RESERVED_FRACTIONS.length - 1,
    );
    const reserved = RESERVED_FRACTIONS[index]! +
      (isAboveShare ? ABOVE_SHARE_FRACTION : 0);
    return tokens >= reserved * capacity;
  }

  /** Records that a request is refused since the endpoints of its service are at
   * their limits. Returns the time in which this node's share of their limits
   * serves it after those that were refused before, milliseconds. */
  recordRefusal(service: string, endpoints: readonly string[]): number {
    let refusals = this.#refusals.get(service);
    if (refusals === undefined) {
      refusals = new SlidingWindowCounter({
        clock: this.#options.clock,
        windowMs: REFUSAL_WINDOW_MS,
      });
      this.#refusals.set(service, refusals);
    }
    refusals.add();
    const limitSum = endpoints.reduce(
      (sum, endpoint) => sum + (this.limits.requestsPerS(endpoint) ?? 0),
      0,
    );
    const perNode = LIMIT_FRACTION * limitSum / this.#nodeCount;
    return perNode <= 0
      ? MAX_RETRY_AFTER_MS
      : Math.min(MAX_RETRY_AFTER_MS, refusals.value / perNode * MS_PER_SECOND);
  }

  /** The endpoints of whose limits this node lacked a share lately. */
  needs(): ShareNeed[] {
    return this.loans.needs().map((endpoint) => ({
      endpoint,
      shareCount: (this.#share(endpoint).burst > 0 ? 1 : 0) +
        this.loans.takenCount(endpoint),
      waitedMs: this.loans.waitedMs(endpoint),
    }));
  }

  /** Begins and ends loans; returns them by borrower. */
  nextLoans(): Map<string, ShareLoan[]> {
    this.limits.expire().forEach((endpoint) => this.forget(endpoint));
    const now = this.#options.clock.monotonicMs();
    const lendable = [...this.limits.inForce.keys()].filter((endpoint) =>
      this.#share(endpoint).burst > 0
    );
    const shares = lendable.map((endpoint) => {
      const { rateFraction, burst } = this.#share(endpoint);
      const bucket = this.#bucket(endpoint);
      const ratePerS = rateFraction * LIMIT_FRACTION *
        (this.limits.requestsPerS(endpoint) ?? 0);
      return {
        endpoint,
        rateFraction,
        burst,
        isUnused: (bucket?.available(now) ?? 0) >= burst,
        isScarce: this.#nodeCount > this.#fleetBurst(endpoint),
        requestIntervalMs: MS_PER_SECOND / ratePerS,
      };
    });
    return this.loans.nextRound(shares);
  }

  /** Discards the state of a removed endpoint. */
  forget(endpoint: string): void {
    this.limits.forget(endpoint);
    this.loans.forget(endpoint);
    this.#buckets.delete(endpoint);
    this.#shares.delete(endpoint);
  }

  get #nodeCount(): number {
    return Math.max(1, this.#options.nodeIds().length);
  }

  /** The bucket of a limited endpoint, with its rate and burst as of now. */
  #bucket(endpoint: string): TokenBucket | undefined {
    const limitPerS = this.limits.requestsPerS(endpoint);
    if (limitPerS === undefined) {
      return undefined;
    }
    const share = this.#share(endpoint);
    const balance = this.loans.balance(endpoint);
    const nowMs = this.#options.clock.monotonicMs();
    const config = {
      ratePerSecond: Math.max(0, share.rateFraction + balance.rateFraction) *
        LIMIT_FRACTION * limitPerS,
      burst: Math.max(0, share.burst + balance.burst),
      nowMs,
    };
    let bucket = this.#buckets.get(endpoint);
    if (bucket === undefined) {
      bucket = new TokenBucket({ ...config, tokens: config.burst });
      this.#buckets.set(endpoint, bucket);
    } else {
      bucket.configure(config);
    }
    return bucket;
  }

  #share(endpoint: string): FleetShare {
    const { nodeId } = this.#options;
    const nodeIds = this.#options.nodeIds();
    const requests = this.#fleetBurst(endpoint);
    const cached = this.#shares.get(endpoint);
    if (cached?.nodeIds === nodeIds && cached.requests === requests) {
      return cached.share;
    }
    const share = fleetShare({ key: endpoint, requests, nodeId, nodeIds });
    this.#shares.set(endpoint, { nodeIds, requests, share });
    return share;
  }

  /** Requests at once of the whole fleet. */
  #fleetBurst(endpoint: string): number {
    const limitPerS = this.limits.requestsPerS(endpoint) ?? 0;
    if (limitPerS <= 0) {
      return 0;
    }
    return Math.max(
      1,
      Math.floor(Math.min(
        BURST_REQUESTS + BURST_S * limitPerS,
        MAX_BURST_S * limitPerS,
      )),
    );
  }
}
