const MAX_SAVED = 10;

/**
 * Bounds retries to a part of the requests: each request earns the part of a
 * retry, and nothing is earned in advance.
 */
export class RetryBudget {
  readonly #ratio: number;
  #saved = 0;

  constructor({ ratio = 0.1 }: { ratio?: number } = {}) {
    this.#ratio = ratio;
  }

  /** Counts one request. */
  earn(): void {
    this.#saved = Math.min(MAX_SAVED, this.#saved + this.#ratio);
  }

  /** Takes one retry; false if none is left. */
  take(): boolean {
    if (this.#saved < 1) {
      return false;
    }
    this.#saved -= 1;
    return true;
  }
}
