import type { Clock } from "@limpetshed/base";
import type {
  NoChoice,
  PathState,
  RetryUsage,
  RolloutChange,
  SendOutcome,
} from "@limpetshed/dispatch";
import type { RouterError } from "@limpetshed/errors";
import {
  type Logger,
  LogRateLimiter,
  type RelayMetrics,
} from "@limpetshed/observe";
import {
  type HedgeDenial,
  type HedgeRecord,
  RelayObserver,
  type RetryDenial,
  type SendRecord,
} from "./relay_observer.ts";
import type { OriginLookup } from "./stream_origin_resolver.ts";
import type { RelayRequest } from "./relay_request.ts";
import type { SendResult } from "./send_result.ts";

/** Options of {@linkcode TelemetryObserver}. */
export interface TelemetryObserverOptions {
  clock: Clock;
  logger: Logger;
  metrics: RelayMetrics;
  /** Returns the time since the shared state was confirmed as current,
   * milliseconds; may be infinite. */
  stateAgeMs?: () => number;
}

/** Request ids that are safe to log; any other may contain arbitrary data from
 * the client. */
const LOGGABLE_ID = /^[\w.:-]{1,64}$/;

const MAX_LOGGED_PARTS = 8;

/** Records metrics and rate-limited log lines for each step of a request. */
export class TelemetryObserver extends RelayObserver {
  readonly #clock: Clock;
  readonly #logger: Logger;
  readonly #metrics: RelayMetrics;
  readonly #stateAgeMs: () => number;
  readonly #budget: LogRateLimiter;

  constructor(
    { clock, logger, metrics, stateAgeMs = () => Number.POSITIVE_INFINITY }:
      TelemetryObserverOptions,
  ) {
    super();
    this.#stateAgeMs = stateAgeMs;
    this.#clock = clock;
    this.#logger = logger;
    this.#metrics = metrics;
    this.#budget = new LogRateLimiter({ clock });
  }

  attemptEnded(
    { request, endpoint, copyFrom, result, load, candidates }: SendRecord,
  ): void {
    const { outcome } = result;
    this.#metrics.count("limpetshed_sends_total", { outcome });
    if (copyFrom !== undefined) {
      this.#metrics.count("limpetshed_copies_total");
    }
    if (outcome === "delivered" && result.headMs !== undefined) {
      this.#metrics.timing("limpetshed_answer_head_seconds", result.headMs, {
        kind: request.route.kind,
      });
    }
    this.#log(`send_${outcome}`, () => ({
      requestId: loggableId(request.requestId),
      event: "send",
      outcome,
      status: result.status,
      reason: result.reason,
      ...loggableRest(result),
      service: request.service,
      endpointId: endpoint.entry.id,
      availabilityZone: endpoint.entry.availabilityZone,
      softwareVersion: endpoint.entry.softwareVersion,
      resumes: loggableResumption(request),
      copyFrom: copyFrom?.entry.id,
      load,
      candidates,
      entryAgeMs: Math.round(this.#clock.monotonicMs() - endpoint.knownSinceMs),
      stateAgeMs: roundIfFinite(this.#stateAgeMs()),
      headMs: result.headMs === undefined
        ? undefined
        : Math.round(result.headMs),
      framing: result.framing,
      receivedBytes: result.receivedBytes,
      relayedBytes: result.relayedBytes,
      openEventBytes: result.openEventBytes,
      promptParts: outcome === "lost" || outcome === "broken"
        ? loggableParts(request)
        : undefined,
      configVersion: request.configVersion,
    }));
  }

  retried(request: RelayRequest, outcome: SendOutcome): void {
    this.#metrics.count("limpetshed_repeats_total", { reason: outcome });
    this.#log("repeat", () => ({
      requestId: loggableId(request.requestId),
      event: "repeat",
      outcome,
      sends: request.counts.sends,
      unsent: request.counts.unsent,
      maxAttempts: request.route.maxAttempts,
      leftMs: Math.round(request.deadlineMs - this.#clock.monotonicMs()),
    }));
  }

  retryDenied(
    request: RelayRequest,
    { outcome, denial, usage }: {
      outcome: SendOutcome;
      denial: RetryDenial;
      usage: RetryUsage;
    },
  ): void {
    this.#metrics.count("limpetshed_repeats_denied_total", { reason: denial });
    this.#log(`repeat_denied_${denial}`, () => ({
      requestId: loggableId(request.requestId),
      event: "repeat_denied",
      outcome: denial,
      after: outcome,
      service: request.service,
      sends: request.counts.sends,
      unsent: request.counts.unsent,
      maxAttempts: request.route.maxAttempts,
      requestsInWindow: usage.requests,
      retriesInWindow: usage.retries,
      retriesAllowed: Math.floor(usage.allowed),
    }));
  }

  hedged(
    request: RelayRequest,
    { endpoints, afterMs, tookMs, outcome }: HedgeRecord,
  ): void {
    this.#metrics.count("limpetshed_hedges_total", { outcome });
    this.#log("hedge", () => ({
      requestId: loggableId(request.requestId),
      event: "hedge",
      outcome,
      route: request.route.name,
      service: request.service,
      endpointIds: endpoints.map(({ entry }) => entry.id),
      afterMs: Math.round(afterMs),
      tookMs: Math.round(tookMs),
    }));
  }

  hedgeDenied(_request: RelayRequest, denial: HedgeDenial): void {
    this.#metrics.count("limpetshed_hedges_denied_total", { reason: denial });
  }

  noEndpointChosen(
    request: RelayRequest,
    { refusal, waitMs, trait }: NoChoice,
  ): void {
    this.#metrics.count("limpetshed_not_placed_total", { reason: refusal });
    this.#log("not_placed", () => ({
      requestId: loggableId(request.requestId),
      event: "not_placed",
      outcome: refusal,
      trait,
      service: request.service,
      tried: request.tried.size,
      priority: request.priority,
      account: request.account,
      softwareVersion: request.version,
      resumes: loggableResumption(request),
      waitMs: waitMs === undefined ? undefined : Math.round(waitMs),
      leftMs: Math.round(request.deadlineMs - this.#clock.monotonicMs()),
      configVersion: request.configVersion,
    }));
  }

  malformedLimit(): void {
    this.#metrics.count("limpetshed_malformed_limits_total");
  }

  malformedRest(): void {
    this.#metrics.count("limpetshed_malformed_rests_total");
  }

  pathChanged(state: PathState): void {
    this.#metrics.count("limpetshed_path_changes_total", { path: state });
  }

  rolloutChanged({ order, step, exposed }: RolloutChange): void {
    this.#metrics.count("limpetshed_rollout_steps_total", { step });
    this.#logger.info({
      event: "rollout",
      outcome: step,
      service: order.service,
      target: order.target,
      orderRevision: order.revision,
      exposed,
    });
  }

  originResolved(
    { source, requestId, firstRequestId, versions, waitedMs, viewAgeMs }:
      OriginLookup,
  ): void {
    this.#metrics.count("limpetshed_stream_resumptions_total", {
      origin: source,
    });
    this.#log(`resumption_${source}`, () => ({
      requestId: loggableId(requestId),
      event: "resumption",
      outcome: source,
      resumes: loggableId(firstRequestId),
      versions,
      waitedMs: Math.round(waitedMs),
      viewAgeMs: roundIfFinite(viewAgeMs),
    }));
  }

  responseCompleted(request: RelayRequest, durationMs: number): void {
    const { kind } = request.route;
    this.#metrics.count("limpetshed_requests_total", {
      kind,
      outcome: "answered",
    });
    this.#metrics.timing("limpetshed_answer_seconds", durationMs, { kind });
    this.#log("answered", () => ({
      requestId: loggableId(request.requestId),
      event: "answered",
      route: request.route.name,
      durationMs: Math.round(durationMs),
      sends: request.counts.sends,
      configVersion: request.configVersion,
    }));
  }

  requestFailed(
    err: RouterError,
    { request, requestId, brokenOff }: {
      request?: RelayRequest;
      requestId?: string;
      brokenOff: boolean;
    },
  ): void {
    this.#metrics.count("limpetshed_requests_total", {
      kind: request?.route.kind ?? "none",
      outcome: brokenOff ? "broken_off" : "failed",
    });
    this.#metrics.count("limpetshed_refusals_total", {
      error: err.kind,
      run: err.run,
    });
    this.#log(`failed_${err.kind}`, () => ({
      requestId: loggableId(requestId),
      event: "failed",
      outcome: err.kind,
      status: brokenOff ? undefined : err.status,
      brokenOff,
      run: err.run,
      reason: err.message,
      retryAfterMs: err.retryAfterMs,
      route: request?.route.name,
      service: request?.service,
      sends: request?.counts.sends,
      unsent: request?.counts.unsent,
      durationMs: request === undefined
        ? undefined
        : Math.round(this.#clock.monotonicMs() - request.arrivedMs),
      configVersion: request?.configVersion,
    }));
  }

  #log(event: string, fields: () => Record<string, unknown>): void {
    const suppressed = this.#budget.tryAcquire(event);
    if (suppressed === undefined) {
      this.#metrics.count("limpetshed_log_lines_left_out_total", { event });
    } else {
      this.#logger.info(
        suppressed === 0 ? fields() : { ...fields(), suppressed },
      );
    }
  }
}

function loggableId(requestId: string | undefined): string | undefined {
  return requestId === undefined || LOGGABLE_ID.test(requestId)
    ? requestId
    : "(not printable)";
}

function loggableRest({ rest }: SendResult): Record<string, unknown> {
  switch (rest.state) {
    case "named":
      return { restMs: Math.round(rest.restMs) };
    case "malformed":
      return { restMs: "(not valid)" };
    case "none":
      return {};
  }
}

function loggableResumption({ resumption }: RelayRequest): string | undefined {
  return resumption === undefined
    ? undefined
    : loggableId(resumption.firstRequestId) ?? "(no id)";
}

/** Ids of the first prompt parts; the last part is the request's own. */
function loggableParts({ prompt }: RelayRequest): string[] | undefined {
  return prompt?.parts.slice(0, -1).slice(0, MAX_LOGGED_PARTS)
    .map(({ id }) => loggableId(id) ?? "");
}

function roundIfFinite(value: number): number | undefined {
  return Number.isFinite(value) ? Math.round(value) : undefined;
}
