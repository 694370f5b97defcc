const MS_PER_SECOND = 1_000;

/** A token bucket that refills at a fixed rate up to a burst. */
export class TokenBucket {
  #ratePerSecond: number;
  #burst: number;
  #tokens: number;
  #updatedAtMs: number;

  constructor({ ratePerSecond, burst, tokens, nowMs }: {
    ratePerSecond: number;
    burst: number;
    /** Initial number of tokens. */
    tokens: number;
    nowMs: number;
  }) {
    this.#ratePerSecond = ratePerSecond;
    this.#burst = burst;
    this.#tokens = tokens;
    this.#updatedAtMs = nowMs;
  }

  /** Changes the rate and burst; tokens above the new burst are dropped. */
  configure({ ratePerSecond, burst, nowMs }: {
    ratePerSecond: number;
    burst: number;
    nowMs: number;
  }): void {
    this.#refill(nowMs);
    this.#ratePerSecond = ratePerSecond;
    this.#burst = burst;
    this.#tokens = Math.min(this.#tokens, burst);
  }

  /** Number of tokens available now. */
  available(nowMs: number): number {
    this.#refill(nowMs);
    return this.#tokens;
  }

  /** Takes up to `wanted` whole tokens and returns the number taken. */
  take(wanted: number, nowMs: number): number {
    this.#refill(nowMs);
    const taken = Math.max(0, Math.min(wanted, Math.floor(this.#tokens)));
    this.#tokens -= taken;
    return taken;
  }

  /** Returns unused tokens to the bucket. */
  refund(tokens: number, nowMs: number): void {
    this.#refill(nowMs);
    this.#tokens = Math.min(this.#burst, this.#tokens + tokens);
  }

  /**
   * Milliseconds until `wanted` tokens, at most the burst, are available;
   * infinite if the rate is zero.
   */
  waitMs(wanted: number, nowMs: number): number {
    this.#refill(nowMs);
    const missing = Math.min(wanted, this.#burst) - this.#tokens;
    if (missing <= 0) {
      return 0;
    }
    return this.#ratePerSecond <= 0
      ? Number.POSITIVE_INFINITY
      : missing / this.#ratePerSecond * MS_PER_SECOND;
  }

  #refill(nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.#updatedAtMs);
    const refill = elapsedMs / MS_PER_SECOND * this.#ratePerSecond;
    this.#tokens = Math.min(this.#burst, this.#tokens + refill);
    this.#updatedAtMs = nowMs;
  }
}
