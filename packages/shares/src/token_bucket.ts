const MS_PER_SECOND = 1_000;

/** Tokens that refill at a fixed rate up to a burst. */
export class TokenBucket {
  #ratePerSecond: number;
  #burst: number;
  #tokens: number;
  #updatedAtMs: number;

  constructor({ ratePerSecond, burst, tokens, nowMs }: {
    ratePerSecond: number;
    burst: number;
    /** Tokens at the start. */
    tokens: number;
    nowMs: number;
  }) {
    this.#ratePerSecond = ratePerSecond;
    this.#burst = burst;
    this.#tokens = tokens;
    this.#updatedAtMs = nowMs;
  }

  /** Takes over a changed rate and burst. */
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

  /** Tokens that can be taken now. */
  available(nowMs: number): number {
    this.#refill(nowMs);
    return this.#tokens;
  }

  /** Takes up to `wanted` tokens; returns how many. */
  take(wanted: number, nowMs: number): number {
    this.#refill(nowMs);
    const taken = Math.max(0, Math.min(wanted, Math.floor(this.#tokens)));
    this.#tokens -= taken;
    return taken;
  }

  /** Puts tokens back that were taken but not used. */
  refund(tokens: number, nowMs: number): void {
    this.#refill(nowMs);
    this.#tokens = Math.min(this.#burst, this.#tokens + tokens);
  }

  /** Milliseconds until `wanted` tokens are there; infinite if never. */
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
