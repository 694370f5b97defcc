import type { Clock } from "@limpetshed/base";
import {
  type Choice,
  type Endpoint,
  type EndpointChooser,
  type EndpointRegistry,
  type EndpointRests,
  isRetryable,
  type LoadTracker,
  type NamedRest,
  type NoChoice,
  type OutlierDetector,
  type SendOutcome,
  type ServiceVersions,
  streamKey,
  type StreamOrigins,
} from "@limpetshed/dispatch";
import type { RouteTable } from "@limpetshed/routing";
import { AttemptOrigin } from "./attempt_origin.ts";
import type { AttemptTracker } from "./attempt_tracker.ts";
import type { ConnectionPool } from "./connection_pool.ts";
import type { CrashGuard } from "./crash_guard.ts";
import { abortError, attemptError, noEndpointError } from "./forward_errors.ts";
import type { LeavingRecorder } from "./leaving_recorder.ts";
import type { LimitRecorder } from "./limit_recorder.ts";
import type { RelayObserver } from "./relay_observer.ts";
import {
  type AbortReason,
  type RelayRequest,
  requiredVersion,
} from "./relay_request.ts";
import type { ResponseWriter } from "./response_writer.ts";
import type { EndpointAnswer, RestRecorder } from "./rest_recorder.ts";
import { mayHaveRun, type RetryGuard } from "./retry_guard.ts";
import { SendAttempt } from "./send_attempt.ts";
import type { SendResult } from "./send_result.ts";
import { SseFramer } from "./sse_framer.ts";
import type { StateView } from "./state_view.ts";
import { VersionVerifier } from "./version_verifier.ts";
import type { WireFormat } from "./wire_format.ts";

/** Options of {@linkcode RequestForwarder}. */
export interface RequestForwarderOptions {
  clock: Clock;
  chooser: EndpointChooser;
  endpointLoads: LoadTracker;
  outlierDetector: OutlierDetector;
  retryGuard: RetryGuard;
  crashGuard: CrashGuard;
  limitRecorder: LimitRecorder;
  restRecorder: RestRecorder;
  rests: EndpointRests;
  leavingRecorder: LeavingRecorder;
  attemptTracker: AttemptTracker;
  pool: ConnectionPool;
  format: WireFormat;
  observer: RelayObserver;
  streamOrigins: StreamOrigins;
  versions: ServiceVersions;
  registry: EndpointRegistry;
  view: StateView;
  /** Routes and services of the active configuration. */
  routeTable: () => RouteTable | undefined;
}

/** Forwards a request to endpoints, retrying within the route's limits, until
 * one of them has answered it. */
export class RequestForwarder {
  readonly #options: RequestForwarderOptions;

  constructor(options: RequestForwarderOptions) {
    this.#options = options;
  }

  /** Forwards `request` until it is answered or no retry is allowed.
   *
   * @throws RouterError describing the failure to report to the client.
   */
  async forward(request: RelayRequest, writer: ResponseWriter): Promise<void> {
    const framer = request.route.resumable
      ? new SseFramer(request.resumption?.lastEventId)
      : undefined;
    this.#options.retryGuard.recordRequest(request);
    for (;;) {
      const { result, crashCheck } = await this.#send(request, {
        writer,
        framer,
      });
      if (result.outcome === "delivered") {
        this.#recordCompleted(request);
        return;
      }
      if (request.signal.aborted) {
        throw abortError(request);
      }
      if (!this.#shouldRetry(request, { result, writer })) {
        throw attemptError(request, result);
      }
      // A retry must not take to the next endpoint what crashed this one.
      await crashCheck;
      if (request.signal.aborted) {
        throw abortError(request);
      }
      framer?.beginContinuation();
      this.#options.observer.retried(request, result.outcome);
    }
  }

  /** Whether to try another endpoint after `result`. For `failed`,
   * `#onServerError` has already consumed a retry from the budget. */
  #shouldRetry(
    request: RelayRequest,
    { result, writer }: { result: SendResult; writer: ResponseWriter },
  ): boolean {
    const { outcome } = result;
    return outcome === "failed" || this.#options.retryGuard.tryRetry(request, {
      outcome,
      counts: request.counts,
      receivedAttempts: request.receivedAttempts,
      isCommitted: writer.isHeadSent &&
        !(request.route.resumable && writer.isEventStream),
    });
  }

  async #send(
    request: RelayRequest,
    { writer, framer }: {
      writer: ResponseWriter;
      framer: SseFramer | undefined;
    },
  ): Promise<{
    result: SendResult;
    /** Resolves when it is known whether the endpoint crashed. */
    crashCheck: Promise<void>;
  }> {
    const { endpointLoads, pool, format, clock, crashGuard, registry, view } =
      this.#options;
    const { attemptTracker } = this.#options;
    const choice = this.#chooseEndpointOrThrow(request);
    const { endpoint, copyFrom, candidates } = choice;
    const load = endpointLoads.totalInFlight(endpoint.key);
    const origin = new AttemptOrigin({ ...this.#options, request, endpoint });
    const attempt = new SendAttempt({
      request,
      endpoint,
      copyFrom,
      writer,
      pool,
      endpointLoads,
      format,
      framer,
      repeatable: isRetryable(request.route),
      verifier: requiredVersion(request) === undefined
        ? undefined
        : new VersionVerifier({ endpoint, registry, view }),
      clock,
      onLimit: (limit, options) =>
        this.#options.limitRecorder.record(endpoint.key, limit, options),
      onUsableHead: (headMs) =>
        this.#options.outlierDetector.recordHeadersTime(endpoint.key, headMs),
      onBrittleness: (brittleness, options) =>
        this.#options.limitRecorder.recordBrittleness(
          endpoint,
          brittleness,
          options,
        ),
      onAnswer: (answer, rest) =>
        this.#recordAnswer(endpoint, { answer, rest }),
      onLeaving: () => this.#options.leavingRecorder.record(endpoint.key),
      maySend: () =>
        !this.#options.rests.isResting(endpoint.key) &&
        !registry.isLeaving(endpoint),
      onSend: (openedMs) => origin.begin(openedMs),
      onFirstEvent: () => origin.pin(),
      onServerError: () => this.#onServerError(request, endpoint),
      isEndpointAlive: () => crashGuard.isAlive(endpoint),
      onEndlessDiscard: () =>
        this.#options.outlierDetector.recordConnectionFailure(endpoint.key),
    });
    const result = await crashGuard.track(
      request,
      endpoint,
      attemptTracker.track(request, attempt, {
        load,
        slots: endpoint.entry.slots,
      }),
    );
    await origin.end(result.outcome);
    this.#recordResult(request, endpoint, result);
    this.#options.observer.attemptEnded({
      request,
      endpoint,
      copyFrom,
      result,
      load,
      candidates,
    });
    return { result, crashCheck: crashGuard.confirmCrash(endpoint, result) };
  }

  /** Chooses an endpoint; reports a refusal to the observer and throws it. */
  #chooseEndpointOrThrow(
    request: RelayRequest,
  ): Exclude<Choice, NoChoice> {
    const choice = this.#chooseEndpoint(request);
    if ("refusal" in choice) {
      this.#options.retryGuard.giveBack(request);
      this.#options.observer.noEndpointChosen(request, choice);
      throw noEndpointError(request, choice);
    }
    return choice;
  }

  #chooseEndpoint(request: RelayRequest): Choice {
    const { chooser, crashGuard, clock } = this.#options;
    const verdict = crashGuard.verdict(request);
    if (verdict.outcome === "refused") {
      const { trait, waitMs } = verdict;
      return { refusal: "crash_suspect", waitMs, trait };
    }
    const table = this.#options.routeTable();
    const spec = table?.service(request.service);
    if (table === undefined || spec === undefined) {
      return { refusal: "none_in_service" };
    }
    return chooser.choose({
      spec,
      prompt: request.prompt,
      tried: request.tried,
      version: requiredVersion(request),
      overloadInput: {
        account: request.account,
        priority: request.priority,
        targetLatencyMs: table.targetLatencyMs(request.service),
        leftMs: request.deadlineMs - clock.monotonicMs(),
      },
    });
  }

  #recordCompleted({ route, account, requestId }: RelayRequest): void {
    if (route.resumable) {
      this.#options.streamOrigins.recordCompleted(
        streamKey(account, requestId),
      );
    }
  }

  /** Records a server error of the endpoint; returns whether the request is
   * retried elsewhere instead of relaying the error. */
  #onServerError(request: RelayRequest, { key }: Endpoint): boolean {
    // This attempt is added here: `#updateProgress` counts it when it has ended.
    const counts = { ...request.counts, sends: request.counts.sends + 1 };
    this.#options.outlierDetector.recordFailedRequest(key);
    return this.#options.retryGuard.tryRetry(request, {
      outcome: "failed",
      counts,
      receivedAttempts: request.receivedAttempts + 1,
    });
  }

  #recordAnswer(
    { key }: Endpoint,
    { answer, rest }: { answer: EndpointAnswer; rest: NamedRest },
  ): void {
    const { restRecorder, outlierDetector } = this.#options;
    restRecorder.record(key, answer, rest);
    if (answer === "refused") {
      outlierDetector.recordRejected(key);
    } else if (answer === "accepted") {
      outlierDetector.recordAccepted(key);
    }
  }

  #recordResult(
    request: RelayRequest,
    endpoint: Endpoint,
    result: SendResult,
  ): void {
    const { outcome } = result;
    this.#updateProgress(request, endpoint, outcome);
    if (request.signal.aborted) {
      const reason = request.signal.reason as AbortReason;
      // A deadline counts as a failure of the endpoint only if no response head
      // has arrived, or a body without end.
      const isEndpointsFault = result.headMs === undefined || result.overran;
      if (reason === "time_over" && isEndpointsFault) {
        this.#options.outlierDetector.recordFailedRequest(endpoint.key);
      }
      return;
    }
    this.#recordHealth(endpoint, outcome);
  }

  #updateProgress(
    request: RelayRequest,
    { key }: Endpoint,
    outcome: SendOutcome,
  ): void {
    request.tried.add(key);
    // A misdirected request reached an endpoint, but not the chosen one.
    if (outcome === "not_sent" || outcome === "misdirected") {
      request.counts.unsent += 1;
    } else {
      request.counts.sends += 1;
    }
    if (outcome !== "not_sent") {
      request.receivedAttempts += 1;
    }
    request.mayHaveRun ||= mayHaveRun(outcome);
  }

  /** Updates endpoint health from an attempt's outcome. */
  #recordHealth({ key }: Endpoint, outcome: SendOutcome): void {
    const { outlierDetector, rests } = this.#options;
    switch (outcome) {
      case "delivered":
        outlierDetector.recordDelivered(key);
        return;
      case "not_sent":
        if (!rests.isResting(key)) {
          outlierDetector.recordConnectionFailure(key);
        }
        return;
      case "lost":
      case "broken":
        outlierDetector.recordConnectionFailure(key);
        return;
      case "rejected":
      case "misdirected":
      case "failed": // already recorded by `#onServerError`
        return;
    }
  }
}
