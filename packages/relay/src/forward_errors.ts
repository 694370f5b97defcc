import type { NoChoice } from "@limpetshed/dispatch";
import { RouterError } from "@limpetshed/errors";
import type { AbortReason, RelayRequest } from "./relay_request.ts";
import type { SendResult } from "./send_result.ts";
import { RESUMPTION_RETRY_AFTER_MS } from "./stream_origin_resolver.ts";

/** Default `retry-after`. By then a full or unreachable endpoint has likely
 * recovered, and the clients' own retry delay is at least as long. */
const RETRY_AFTER_MS = 300;

/** Short, since other nodes can accept the request immediately. */
const STOPPING_RETRY_AFTER_MS = 20;

/** The failure of a request for which no endpoint could be chosen. */
export function noEndpointError(
  request: RelayRequest,
  { refusal: reason, waitMs = 0, retryAfterMs }: NoChoice,
): RouterError {
  if (request.mayHaveRun) {
    return new RouterError("endpoint_failed", "no endpoint is left to try");
  }
  if (reason === "version_gone") {
    return new RouterError(
      "stream_version_gone",
      "no endpoint has the software version that began the stream",
      { retryAfterMs: RESUMPTION_RETRY_AFTER_MS },
    );
  }
  const wasAttempted = request.receivedAttempts > 0 ||
    request.counts.unsent > 0;
  return new RouterError(
    wasAttempted ? "endpoint_unreachable" : "no_endpoint",
    `no endpoint can take the request: ${reason}`,
    { retryAfterMs: retryAfterMs ?? Math.max(RETRY_AFTER_MS, waitMs) },
  );
}

/** The failure of a request whose last attempt ended with `result`. */
export function attemptError(
  request: RelayRequest,
  result: SendResult,
): RouterError {
  if (request.mayHaveRun) {
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

/** The failure of a request that comes while this node stops. */
export function stoppingError(): RouterError {
  return new RouterError("node_not_ready", "this node is stopping", {
    retryAfterMs: STOPPING_RETRY_AFTER_MS,
  });
}

/** The failure of a request that was aborted. */
export function abortError(request: RelayRequest): RouterError {
  const reason = request.signal.reason as AbortReason;
  if (reason === "caller_gone") {
    return new RouterError(
      "caller_cancelled",
      "the caller went away",
    );
  }
  if (reason === "node_stopping") {
    return request.mayHaveRun
      ? new RouterError(
        "endpoint_failed",
        "this node stopped before the endpoint answered",
      )
      : stoppingError();
  }
  return request.mayHaveRun
    ? new RouterError("deadline_exceeded", "no answer within the time limit")
    : new RouterError(
      "deadline_before_start",
      "not sent within the limit",
    );
}
