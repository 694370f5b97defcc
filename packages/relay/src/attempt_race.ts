import type { SendResult } from "./send_result.ts";

/** An attempt that ended. */
export interface SentAttempt {
  result: SendResult;
  /** Resolves when it is known whether the endpoint crashed. */
  crashCheck: Promise<void>;
}

/** An attempt on its way to an endpoint. */
export interface RunningAttempt {
  /** Resolves when the attempt has ended and is recorded. */
  ended: Promise<SentAttempt>;
  /** Ends the attempt, unless it has ended, as another one has won. */
  cancel: () => void;
  /** Whether the head of a usable response has arrived. */
  isAnswering: () => boolean;
}

/** What an attempt tells of itself and asks about the others of its request. */
export interface RaceEntry {
  /** To be called before the first byte of a response is passed to the client:
   * cancels the other attempts. */
  commit: () => void;
  /** To be called as soon as the response of the endpoint is over. */
  settle: () => void;
  /** Whether another attempt may still answer the request. */
  isOtherRunning: () => boolean;
  /** Whether an attempt that was started later answers the client. */
  isOvertaken: () => boolean;
}

/** Attempts of one request that run at the same time. One of them answers the
 * client; the others are cancelled when it begins to. */
export class AttemptRace {
  readonly #attempts: { attempt: RunningAttempt; isRunning: boolean }[] = [];
  readonly #pending: Promise<void>[] = [];
  #last: SentAttempt | undefined;
  #crashChecks: Promise<void>[] = [];
  /** Index of the attempt that answers the client. */
  #committed: number | undefined;

  /** Index of the attempt that answers the client, in the order of their start. */
  get committed(): number | undefined {
    return this.#committed;
  }

  /** Whether an attempt answers the client, or none runs. */
  get isDecided(): boolean {
    return this.#committed !== undefined ||
      !this.#attempts.some(({ isRunning }) => isRunning);
  }

  /** Starts an attempt. */
  add(start: (entry: RaceEntry) => RunningAttempt): RunningAttempt {
    const index = this.#attempts.length;
    let hasSettled = false;
    const attempt = start({
      commit: () => this.#commit(index),
      settle: () => {
        hasSettled = true;
        const started = this.#attempts[index];
        if (started !== undefined) {
          started.isRunning = false;
        }
      },
      isOvertaken: () => (this.#committed ?? index) > index,
      isOtherRunning: () =>
        this.#attempts.some((other, i) => i !== index && other.isRunning),
    });
    this.#attempts.push({ attempt, isRunning: !hasSettled });
    this.#pending.push(this.#recordEnd(attempt));
    return attempt;
  }

  /** Resolves when all attempts have ended to the one that answered the client, or
   * else to the one that ended last. */
  async result(): Promise<SentAttempt> {
    for (const pending of this.#pending) {
      await pending;
    }
    return {
      result: this.#last!.result,
      crashCheck: Promise.all(this.#crashChecks).then(() => undefined),
    };
  }

  #commit(index: number): void {
    if (this.#committed === undefined) {
      this.#committed = index;
      this.#attempts.forEach(({ attempt }, i) => {
        if (i !== index) {
          attempt.cancel();
        }
      });
    }
  }

  async #recordEnd({ ended }: RunningAttempt): Promise<void> {
    const sent = await ended;
    this.#crashChecks.push(sent.crashCheck);
    if (sent.result.outcome !== "cancelled" || this.#last === undefined) {
      this.#last = sent;
    }
  }
}
