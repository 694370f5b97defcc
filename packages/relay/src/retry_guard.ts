import {
  type AttemptCounts,
  isRetryable,
  mayRetry,
  type RetryBudget,
  type SendOutcome,
} from "@limpetshed/dispatch";
import type { RelayObserver, RetryDenial } from "./relay_observer.ts";
import type { RelayRequest } from "./relay_request.ts";

/** Options of {@linkcode RetryGuard}. */
export interface RetryGuardOptions {
  budget: RetryBudget;
  observer: RelayObserver;
}

/** An attempt after which a request may be retried. */
export interface EndedAttempt {
  outcome: SendOutcome;
  /** Attempts so far, including this one. */
  counts: AttemptCounts;
  /** Attempts so far in which an endpoint may have received the request. */
  receivedAttempts: number;
  /** Whether the client has a part of the response that nothing can follow. */
  isCommitted?: boolean;
}

/** Decides whether requests are retried, and reports why if they are not. */
export class RetryGuard {
  readonly #options: RetryGuardOptions;

  constructor(options: RetryGuardOptions) {
    this.#options = options;
  }

  /** Records a request, which adds to the budget of its service. */
  recordRequest({ service }: RelayRequest): void {
    this.#options.budget.recordRequest(service);
  }

  /** Consumes a retry from the budget, unless no endpoint has received the
   * request yet; returns whether the retry is allowed. */
  tryRetry(request: RelayRequest, attempt: EndedAttempt): boolean {
    const denial = this.#denial(request, attempt);
    if (denial !== undefined) {
      const { budget, observer } = this.#options;
      observer.retryDenied(request, {
        outcome: attempt.outcome,
        denial,
        usage: budget.usage(request.service),
      });
    }
    return denial === undefined;
  }

  /** Returns to the budget the retry of a request for which there is no
   * endpoint. */
  giveBack({ receivedAttempts, service }: RelayRequest): void {
    if (receivedAttempts > 0) {
      this.#options.budget.giveBack(service);
    }
  }

  /** Consumes a retry for a second send of a request that still runs; returns
   * whether the budget has one left. */
  tryHedge(service: string): boolean {
    return this.#options.budget.tryConsume(service);
  }

  /** Returns to the budget a second send that did not take place. */
  giveBackHedge(service: string): void {
    this.#options.budget.giveBack(service);
  }

  #denial(
    { route, service }: RelayRequest,
    { outcome, counts, receivedAttempts, isCommitted = false }: EndedAttempt,
  ): RetryDenial | undefined {
    if (isCommitted || !isRetryable(route) && mayHaveRun(outcome)) {
      return "not_repeatable";
    }
    if (!mayRetry(outcome, { route, counts })) {
      return "attempts_used";
    }
    const isWithinBudget = receivedAttempts === 0 ||
      this.#options.budget.tryConsume(service);
    return isWithinBudget ? undefined : "budget_used";
  }
}

/** Whether an attempt with this outcome may have run the request. */
export function mayHaveRun(outcome: SendOutcome): boolean {
  return outcome === "failed" || outcome === "lost" || outcome === "broken" ||
    outcome === "cancelled" || outcome === "delivered";
}
