import type { Clock } from "@limpetshed/base";
import {
  type AccountLoads,
  type Choice,
  type CrashSuspects,
  type Endpoint,
  type EndpointChooser,
  isRetryable,
  type LoadTracker,
  mayRetry,
  type NoChoiceReason,
  type OutlierDetector,
  type RetryBudget,
  type SendOutcome,
  type ServiceLatency,
} from "@limpetshed/dispatch";
import { RouterError } from "@limpetshed/errors";
import type { RouteTable } from "@limpetshed/routing";
import type { AnswerSink } from "./answer_sink.ts";
import type { ConnectionPool } from "./connection_pool.ts";
import { EventFramer } from "./event_framer.ts";
import type { AbortReason, RelayCall } from "./relay_call.ts";
import type { RelayObserver } from "./relay_observer.ts";
import { SendAttempt, type SendResult } from "./send_attempt.ts";
import type { WireFormat } from "./wire_format.ts";

/** Options of {@linkcode CallRelay}. */
export interface CallRelayOptions {
  clock: Clock;
  chooser: EndpointChooser;
  board: LoadTracker;
  suspicion: OutlierDetector;
  allowance: RetryBudget;
  crashes: CrashSuspects;
  pace: ServiceLatency;
  accounts: AccountLoads;
  pool: ConnectionPool;
  format: WireFormat;
  observer: RelayObserver;
  /** The configuration in force. */
  table: () => RouteTable | undefined;
}

/** After this time an endpoint that is full or away has likely changed, and
 * it is within what callers wait between attempts. */
const RETRY_AFTER_MS = 300;

/** Takes one call through its sends to the answer. */
export class CallRelay {
  readonly #options: CallRelayOptions;

  constructor(options: CallRelayOptions) {
    this.#options = options;
  }

  /** Sends `call` until it is answered or given up.
   *
   * @throws RouterError for what the caller is to be told.
   */
  async run(call: RelayCall, sink: AnswerSink): Promise<void> {
    const { allowance } = this.#options;
    const framer = call.route.resumable ? new EventFramer() : undefined;
    allowance.recordRequest(call.service);
    for (;;) {
      const result = await this.#send(call, { sink, framer });
      if (result.outcome === "delivered") {
        return;
      }
      if (call.signal.aborted) {
        throw abortError(call);
      }
      if (!this.#goesOn(call, { result, sink })) {
        throw failure(call, result);
      }
      framer?.dropRest();
      this.#options.observer.repeated(call, result.outcome);
    }
  }

  /** Whether to try another endpoint after `result`. */
  #goesOn(
    call: RelayCall,
    { result, sink }: { result: SendResult; sink: AnswerSink },
  ): boolean {
    const { outcome } = result;
    if (outcome === "failed") {
      return true;
    }
    if (sink.isStarted && !call.route.resumable) {
      return false;
    }
    return mayRetry(outcome, call) && this.#mayArriveAgain(call);
  }

  /** Takes a repeat from the allowance if an endpoint has had the call. */
  #mayArriveAgain(call: RelayCall): boolean {
    return call.arrivals === 0 ||
      this.#options.allowance.tryRetry(call.service);
  }

  async #send(
    call: RelayCall,
    { sink, framer }: { sink: AnswerSink; framer: EventFramer | undefined },
  ): Promise<SendResult> {
    const { board, pool, format, clock } = this.#options;
    const { endpoint, copyFrom, candidates } = this.#place(call);
    const load = board.totalInFlight(endpoint.key);
    const attempt = new SendAttempt({
      call,
      endpoint,
      copyFrom,
      sink,
      pool,
      board,
      format,
      framer,
      repeatable: isRetryable(call.route),
      now: () => clock.monotonicMs(),
      onHead: (headMs) =>
        this.#options.suspicion.headersReceived(endpoint.key, headMs),
      wantsRepeat: () => this.#wantsRepeat(call, endpoint),
    });
    const result = await this.#occupying(call, attempt);
    this.#note(call, endpoint, result);
    this.#options.observer.sent({
      call,
      endpoint,
      copyFrom,
      result,
      load,
      candidates,
    });
    return result;
  }

  /** Counts the request at its service until the send has ended. */
  async #occupying(
    { service, account = "" }: RelayCall,
    attempt: SendAttempt,
  ): Promise<SendResult> {
    const { accounts, pace, clock } = this.#options;
    const startMs = clock.monotonicMs();
    accounts.begin(service, account);
    const result = await attempt.result;
    accounts.end(service, account);
    if (mayHaveRun(result.outcome)) {
      pace.record(service, clock.monotonicMs() - startMs);
    }
    return result;
  }

  #place(call: RelayCall): Exclude<Choice, { refusal: NoChoiceReason }> {
    const choice = this.#choose(call);
    if ("refusal" in choice) {
      const { refusal, waitMs } = choice;
      this.#options.observer.notPlaced(call, refusal, waitMs);
      throw placeError(call, refusal, waitMs);
    }
    return choice;
  }

  #choose(call: RelayCall): Choice {
    const { chooser, crashes, clock } = this.#options;
    const refusedMs = crashes.hasCrashes
      ? crashes.refusalRemainingMs(call.fingerprint())
      : 0;
    if (refusedMs > 0) {
      return { refusal: "crash_suspect", waitMs: refusedMs };
    }
    const table = this.#options.table();
    const spec = table?.service(call.service);
    if (table === undefined || spec === undefined) {
      return { refusal: "none_in_service" };
    }
    return chooser.choose({
      spec,
      prompt: call.prompt,
      tried: call.tried,
      urgency: {
        account: call.account,
        priority: call.priority,
        targetLatencyMs: table.targetLatencyMs(call.service),
        leftMs: call.endsMs - clock.monotonicMs(),
      },
    });
  }

  /** Notes a failure of the endpoint; whether the call is to be tried elsewhere
   * instead of relaying it. */
  #wantsRepeat(call: RelayCall, { key }: Endpoint): boolean {
    const counts = { ...call.counts, sends: call.counts.sends + 1 };
    const { suspicion, allowance } = this.#options;
    suspicion.failed(key);
    return mayRetry("failed", { route: call.route, counts }) &&
      allowance.tryRetry(call.service);
  }

  #note(call: RelayCall, endpoint: Endpoint, result: SendResult): void {
    const { outcome } = result;
    this.#countUp(call, endpoint, outcome);
    if (call.signal.aborted) {
      const reason = call.signal.reason as AbortReason;
      if (reason === "time_over" && result.headMs === undefined) {
        this.#options.suspicion.failed(endpoint.key);
      }
      return;
    }
    this.#noteHealth(call, endpoint, outcome);
  }

  #countUp(call: RelayCall, { key }: Endpoint, outcome: SendOutcome): void {
    call.tried.add(key);
    if (outcome === "not_sent" || outcome === "misdirected") {
      call.counts.unsent += 1;
    } else {
      call.counts.sends += 1;
    }
    if (outcome !== "not_sent") {
      call.arrivals += 1;
    }
    call.mayHaveRun ||= mayHaveRun(outcome);
  }

  /** Notes what the end of a send says of the endpoint and of the request. */
  #noteHealth(call: RelayCall, { key }: Endpoint, outcome: SendOutcome): void {
    const { suspicion, crashes } = this.#options;
    switch (outcome) {
      case "delivered":
        suspicion.answered(key);
        if (crashes.hasCrashes) {
          crashes.completed(call.fingerprint());
        }
        return;
      case "not_sent":
        suspicion.lost(key);
        crashes.endpointDown(key);
        return;
      case "lost":
      case "broken":
        suspicion.lost(key);
        crashes.lost({ fingerprint: call.fingerprint(), endpoint: key });
        return;
      case "rejected":
      case "misdirected":
      case "failed":
        return;
    }
  }
}

function mayHaveRun(outcome: SendOutcome): boolean {
  return outcome === "failed" || outcome === "lost" || outcome === "broken" ||
    outcome === "delivered";
}

function placeError(
  call: RelayCall,
  reason: NoChoiceReason,
  waitMs = 0,
): RouterError {
  if (call.mayHaveRun) {
    return new RouterError("endpoint_failed", "no endpoint is left to try");
  }
  const isRetried = call.arrivals > 0 || call.counts.unsent > 0;
  return new RouterError(
    isRetried ? "endpoint_unreachable" : "no_endpoint",
    `no endpoint can take the request: ${reason}`,
    { retryAfterMs: Math.max(RETRY_AFTER_MS, waitMs) },
  );
}

function failure(call: RelayCall, result: SendResult): RouterError {
  if (call.mayHaveRun) {
    return new RouterError("endpoint_failed", "the endpoint did not answer");
  }
  return result.outcome === "not_sent"
    ? new RouterError("endpoint_unreachable", "no endpoint could be reached", {
      retryAfterMs: RETRY_AFTER_MS,
    })
    : new RouterError("endpoint_refused", "the endpoint refused the request", {
      retryAfterMs: RETRY_AFTER_MS,
    });
}

function abortError(call: RelayCall): RouterError {
  const reason = call.signal.reason as AbortReason;
  if (reason === "caller_gone") {
    return new RouterError("caller_cancelled", "the caller went away");
  }
  return call.mayHaveRun
    ? new RouterError("deadline_exceeded", "no answer within the time limit")
    : new RouterError("deadline_before_start", "not sent within the limit");
}
