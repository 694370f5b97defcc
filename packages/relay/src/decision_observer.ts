import type { Clock } from "@limpetshed/base";
import type { NoChoiceReason, SendOutcome } from "@limpetshed/dispatch";
import type { RouterError } from "@limpetshed/errors";
import { LogBudget, type Logger, type RelayMetrics } from "@limpetshed/observe";
import type { RelayCall } from "./relay_call.ts";
import { RelayObserver, type SendRecord } from "./relay_observer.ts";

/** Options of {@linkcode DecisionObserver}. */
export interface DecisionObserverOptions {
  clock: Clock;
  logger: Logger;
  metrics: RelayMetrics;
}

/** Ids that are logged: longer ones, or other characters, may hold anything
 * that a caller sent. */
const PRINTABLE_ID = /^[\w.:-]{1,64}$/;

/** Counts each decision on a call and writes a line for it, within the log's
 * budget. */
export class DecisionObserver extends RelayObserver {
  readonly #clock: Clock;
  readonly #logger: Logger;
  readonly #metrics: RelayMetrics;
  readonly #budget: LogBudget;

  constructor({ clock, logger, metrics }: DecisionObserverOptions) {
    super();
    this.#clock = clock;
    this.#logger = logger;
    this.#metrics = metrics;
    this.#budget = new LogBudget({ clock });
  }

  sent(
    { call, endpoint, copyFrom, result, load, candidates }: SendRecord,
  ): void {
    const { outcome } = result;
    this.#metrics.count("limpetshed_sends_total", { outcome });
    if (copyFrom !== undefined) {
      this.#metrics.count("limpetshed_copies_total");
    }
    if (outcome === "delivered" && result.headMs !== undefined) {
      this.#metrics.timing("limpetshed_answer_head_seconds", result.headMs, {
        kind: call.route.kind,
      });
    }
    this.#line(`send_${outcome}`, () => ({
      requestId: printableId(call.requestId),
      event: "send",
      outcome,
      status: result.status,
      reason: result.reason,
      service: call.service,
      endpointId: endpoint.entry.id,
      availabilityZone: endpoint.entry.availabilityZone,
      copyFrom: copyFrom?.entry.id,
      load,
      candidates,
      entryAgeMs: Math.round(this.#clock.monotonicMs() - endpoint.knownSinceMs),
      headMs: result.headMs === undefined
        ? undefined
        : Math.round(result.headMs),
      configVersion: call.configVersion,
    }));
  }

  repeated(call: RelayCall, outcome: SendOutcome): void {
    this.#metrics.count("limpetshed_repeats_total", { reason: outcome });
    this.#line("repeat", () => ({
      requestId: printableId(call.requestId),
      event: "repeat",
      outcome,
      sends: call.counts.sends,
      unsent: call.counts.unsent,
      maxAttempts: call.route.maxAttempts,
      leftMs: Math.round(call.endsMs - this.#clock.monotonicMs()),
    }));
  }

  notPlaced(
    call: RelayCall,
    reason: NoChoiceReason,
    waitMs: number | undefined,
  ): void {
    this.#metrics.count("limpetshed_not_placed_total", { reason });
    this.#line("not_placed", () => ({
      requestId: printableId(call.requestId),
      event: "not_placed",
      outcome: reason,
      service: call.service,
      tried: call.tried.size,
      priority: call.priority,
      account: call.account,
      waitMs: waitMs === undefined ? undefined : Math.round(waitMs),
      leftMs: Math.round(call.endsMs - this.#clock.monotonicMs()),
      configVersion: call.configVersion,
    }));
  }

  answered(call: RelayCall, durationMs: number): void {
    const { kind } = call.route;
    this.#metrics.count("limpetshed_requests_total", {
      kind,
      outcome: "answered",
    });
    this.#metrics.timing("limpetshed_answer_seconds", durationMs, { kind });
    this.#line("answered", () => ({
      requestId: printableId(call.requestId),
      event: "answered",
      route: call.route.name,
      durationMs: Math.round(durationMs),
      sends: call.counts.sends,
      configVersion: call.configVersion,
    }));
  }

  failed(
    err: RouterError,
    { call, requestId, brokenOff }: {
      call?: RelayCall;
      requestId?: string;
      brokenOff: boolean;
    },
  ): void {
    this.#metrics.count("limpetshed_requests_total", {
      kind: call?.route.kind ?? "none",
      outcome: brokenOff ? "broken_off" : "failed",
    });
    this.#metrics.count("limpetshed_refusals_total", {
      error: err.kind,
      run: err.run,
    });
    this.#line(`failed_${err.kind}`, () => ({
      requestId: printableId(requestId),
      event: "failed",
      outcome: err.kind,
      status: brokenOff ? undefined : err.status,
      brokenOff,
      run: err.run,
      reason: err.message,
      retryAfterMs: err.retryAfterMs,
      route: call?.route.name,
      service: call?.service,
      sends: call?.counts.sends,
      unsent: call?.counts.unsent,
      durationMs: call === undefined
        ? undefined
        : Math.round(this.#clock.monotonicMs() - call.arrivedMs),
      configVersion: call?.configVersion,
    }));
  }

  #line(event: string, fields: () => Record<string, unknown>): void {
    const suppressed = this.#budget.take(event);
    if (suppressed === undefined) {
      this.#metrics.count("limpetshed_log_lines_left_out_total", { event });
    } else {
      this.#logger.info(
        suppressed === 0 ? fields() : { ...fields(), suppressed },
      );
    }
  }
}

function printableId(requestId: string | undefined): string | undefined {
  return requestId === undefined || PRINTABLE_ID.test(requestId)
    ? requestId
    : "(not printable)";
}
