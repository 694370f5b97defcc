const MAX_BALANCE = 10;

/**
 * Limits retries to a fraction of the requests: each request deposits `ratio`
 * of a retry. The budget starts empty.
 */
export class RetryBudget {
  readonly #ratio: number;
  #balance = 0;

  constructor({ ratio = 0.1 }: { ratio?: number } = {}) {
    this.#ratio = ratio;
  }

  /** Deposits one request's fraction of a retry. */
  deposit(): void {
    this.#balance = Math.min(MAX_BALANCE, this.#balance + this.#ratio);
  }

  /** Withdraws one retry; returns false if the balance is below one. */
  tryWithdraw(): boolean {
    if (this.#balance < 1) {
      return false;
    }
    this.#balance -= 1;
    return true;
  }
}
