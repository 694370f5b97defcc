import type {
  Endpoint,
  NoChoice,
  PathState,
  RetryUsage,
  RolloutChange,
  SendOutcome,
} from "@limpetshed/dispatch";
import type { RouterError } from "@limpetshed/errors";
import type { RelayRequest } from "./relay_request.ts";
import type { OriginLookup } from "./stream_origin_resolver.ts";
import type { SendResult } from "./send_result.ts";

/** A completed attempt to send a request to an endpoint. */
export interface SendRecord {
  request: RelayRequest;
  endpoint: Endpoint;
  /** Endpoint to copy cached parts of the prompt from. */
  copyFrom: Endpoint | undefined;
  result: SendResult;
  /** The endpoint's estimated requests in flight when it was chosen. */
  load: number;
  /** Number of endpoints that were eligible. */
  candidates: number;
}

/** Why a request is not retried. */
export type RetryDenial =
  /** It might run twice. */
  | "not_repeatable"
  /** The route's limit, or that of connection attempts, is reached. */
  | "attempts_used"
  /** The retry budget of the service is used up. */
  | "budget_used";

/** Why a slow request is not sent a second time. */
export type HedgeDenial =
  /** Too little time is left to the caller. */
  | "no_time"
  /** The request, or a part of its prompt, may crash endpoints. */
  | "crash_suspect"
  /** The share of requests that may be sent twice is used up. */
  | "share_used"
  /** The retry budget of the service is used up. */
  | "budget_used"
  /** No other endpoint may take it and has a free slot. */
  | "no_room";

/** A request that was sent to two endpoints at the same time. */
export interface HedgeRecord {
  /** In the order of the attempts. */
  endpoints: readonly [Endpoint, Endpoint];
  /** Time from the first send to the second, milliseconds. */
  afterMs: number;
  /** Time until both had ended, milliseconds. */
  tookMs: number;
  /** Which attempt answered the client. */
  outcome: "first_won" | "second_won" | "none_won";
}

/** Receives the events of a request, for logs and metrics. */
export abstract class RelayObserver {
  /** An attempt to send a request has ended. */
  abstract attemptEnded(record: SendRecord): void;

  /** A request is retried after an attempt that ended with `outcome`. */
  abstract retried(request: RelayRequest, outcome: SendOutcome): void;

  /** A request is not retried after an attempt that ended with `outcome`. */
  abstract retryDenied(
    request: RelayRequest,
    denied: { outcome: SendOutcome; denial: RetryDenial; usage: RetryUsage },
  ): void;

  /** A request that was sent a second time has been answered, or both attempts
   * have failed. */
  abstract hedged(request: RelayRequest, record: HedgeRecord): void;

  /** A slow request is not sent a second time. */
  abstract hedgeDenied(request: RelayRequest, denial: HedgeDenial): void;

  /** No endpoint could be chosen. */
  abstract noEndpointChosen(request: RelayRequest, reason: NoChoice): void;

  /** An endpoint has named a limit that is not valid. */
  abstract malformedLimit(): void;

  /** An endpoint has asked for a rest in a way that is not valid. */
  abstract malformedRest(): void;

  /** The path to an endpoint, or to all, has changed. */
  abstract pathChanged(state: PathState): void;

  /** The origin of a stream that a client resumes was found or not. */
  abstract originResolved(lookup: OriginLookup): void;

  /** The rollout of a service has gone on. */
  abstract rolloutChanged(change: RolloutChange): void;

  /** A response has been relayed completely. */
  abstract responseCompleted(request: RelayRequest, durationMs: number): void;

  /** A request was refused or failed; `brokenOff` if part of the response had
   * already been sent. */
  abstract requestFailed(
    err: RouterError,
    context: { request?: RelayRequest; requestId?: string; brokenOff: boolean },
  ): void;
}
