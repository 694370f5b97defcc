import type { Clock } from "@limpetshed/base";
import {
  type Choice,
  type Endpoint,
  type EndpointRegistry,
  type EndpointRests,
  isRetryable,
  type LoadTracker,
  type NamedRest,
  type NoChoice,
  type OutlierDetector,
  type ServiceVersions,
  type StreamOrigins,
} from "@limpetshed/dispatch";
import { AttemptOrigin } from "./attempt_origin.ts";
import type { RaceEntry, RunningAttempt, SentAttempt } from "./attempt_race.ts";
import type { AttemptTracker } from "./attempt_tracker.ts";
import type { ConnectionPool } from "./connection_pool.ts";
import type { CrashGuard } from "./crash_guard.ts";
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
import type { SseFramer } from "./sse_framer.ts";
import type { StateView } from "./state_view.ts";
import { VersionVerifier } from "./version_verifier.ts";
import type { WireFormat } from "./wire_format.ts";

/** Options of {@linkcode AttemptRunner}. */
export interface AttemptRunnerOptions {
  clock: Clock;
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
}

/** An endpoint that was chosen for an attempt. */
export type ChosenEndpoint = Exclude<Choice, NoChoice>;

/** Options of {@linkcode AttemptRunner.start}. */
export interface StartOptions {
  writer: ResponseWriter;
  /** Buffers the incomplete last event of a resumable stream. */
  framer: SseFramer | undefined;
  /** The attempt's place among those of its request. */
  entry: RaceEntry;
}

/** Sends requests to chosen endpoints, and records what each attempt tells of the
 * endpoint and of the request. */
export class AttemptRunner {
  readonly #options: AttemptRunnerOptions;

  constructor(options: AttemptRunnerOptions) {
    this.#options = options;
  }

  /** Starts to send `request` to the chosen endpoint. */
  start(
    request: RelayRequest,
    choice: ChosenEndpoint,
    { writer, framer, entry }: StartOptions,
  ): RunningAttempt {
    const { endpointLoads, pool, format, clock, crashGuard, registry, view } =
      this.#options;
    const { endpoint, copyFrom } = choice;
    const load = endpointLoads.totalInFlight(endpoint.key);
    const origin = new AttemptOrigin({ ...this.#options, request, endpoint });
    let isAnswering = false;
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
      onUsableHead: (headMs) => {
        isAnswering = true;
        this.#options.outlierDetector.recordHeadersTime(endpoint.key, headMs);
      },
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
      onServerError: () => this.#onServerError(request, { endpoint, entry }),
      onCommit: () => entry.commit(),
      isEndpointAlive: () => crashGuard.isAlive(endpoint),
      onEndlessDiscard: () =>
        this.#options.outlierDetector.recordConnectionFailure(endpoint.key),
    });
    const result = attempt.result.then((ended) => {
      entry.settle();
      return ended;
    });
    return {
      ended: this.#recordEnd(request, { choice, entry, load, origin, result }),
      cancel: () => attempt.cancel(),
      isAnswering: () => isAnswering,
    };
  }

  async #recordEnd(
    request: RelayRequest,
    { choice, entry, load, origin, result: pending }: {
      choice: ChosenEndpoint;
      entry: RaceEntry;
      /** Requests in flight at the endpoint when it was chosen. */
      load: number;
      origin: AttemptOrigin;
      result: Promise<SendResult>;
    },
  ): Promise<SentAttempt> {
    const { attemptTracker, crashGuard, observer } = this.#options;
    const { endpoint, copyFrom, candidates } = choice;
    const result = await crashGuard.track(
      request,
      endpoint,
      attemptTracker.track(request, pending, {
        load,
        slots: endpoint.entry.slots,
      }),
    );
    await origin.end(result.outcome);
    this.#recordResult(request, { endpoint, entry, result });
    observer.attemptEnded({
      request,
      endpoint,
      copyFrom,
      result,
      load,
      candidates,
    });
    return { result, crashCheck: crashGuard.confirmCrash(endpoint, result) };
  }

  /** Records a server error of the endpoint; returns whether the error is
   * discarded, as the request is retried elsewhere or another attempt goes on. */
  #onServerError(
    request: RelayRequest,
    { endpoint: { key }, entry }: { endpoint: Endpoint; entry: RaceEntry },
  ): boolean {
    // This attempt is added here: `#updateProgress` counts it when it has ended.
    const counts = { ...request.counts, sends: request.counts.sends + 1 };
    this.#options.outlierDetector.recordFailedRequest(key);
    return entry.isOtherRunning() ||
      this.#options.retryGuard.tryRetry(request, {
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
    { endpoint, entry, result }: {
      endpoint: Endpoint;
      entry: RaceEntry;
      result: SendResult;
    },
  ): void {
    this.#updateProgress(request, endpoint, result);
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
    this.#recordHealth(endpoint, result);
    const { sentMs, headMs } = result;
    if (entry.isOvertaken() && sentMs !== undefined && headMs === undefined) {
      this.#options.outlierDetector.recordOvertaken(
        endpoint.key,
        this.#options.clock.monotonicMs() - sentMs,
      );
    }
  }

  #updateProgress(
    request: RelayRequest,
    { key }: Endpoint,
    { outcome, sentMs }: SendResult,
  ): void {
    request.tried.add(key);
    const wasNotSent = outcome === "not_sent" ||
      outcome === "cancelled" && sentMs === undefined;
    // A misdirected request reached an endpoint, but not the chosen one.
    if (wasNotSent || outcome === "misdirected") {
      request.counts.unsent += 1;
    } else {
      request.counts.sends += 1;
    }
    if (!wasNotSent) {
      request.receivedAttempts += 1;
    }
    request.mayHaveRun ||= mayHaveRun(outcome);
  }

  /** Updates endpoint health from an attempt's outcome. */
  #recordHealth({ key }: Endpoint, { outcome }: SendResult): void {
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
      case "cancelled":
      case "rejected":
      case "misdirected":
      case "failed": // already recorded by `#onServerError`
        return;
    }
  }
}
