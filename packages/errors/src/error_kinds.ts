/** Whether a rejected or failed request may have been executed. */
export type RunState = "not-run" | "may-have-run" | "ran";

/** All error kinds; no others are sent to callers. */
export type ErrorKind =
  | "admission_refused"
  | "answer_incomplete"
  | "body_stalled"
  | "body_too_large"
  | "caller_cancelled"
  | "call_in_progress"
  | "config_conflict"
  | "config_invalid"
  | "config_outcome_unknown"
  | "config_version_missing"
  | "config_version_stale"
  | "deadline_before_start"
  | "deadline_exceeded"
  | "endpoint_failed"
  | "endpoint_refused"
  | "endpoint_unreachable"
  | "forbidden"
  | "headers_too_large"
  | "idempotency_key_reused"
  | "internal"
  | "invalid_request"
  | "memory_full"
  | "no_endpoint"
  | "node_not_ready"
  | "not_found"
  | "outcome_unknown"
  | "peer_unreachable"
  | "quarantined"
  | "queue_full"
  | "settings_invalid"
  | "share_exhausted"
  | "small_chunks"
  | "store_outcome_unknown"
  | "store_unavailable"
  | "stream_origin_unknown"
  | "stream_version_gone"
  | "too_many_requests"
  | "unauthenticated"
  | "zone_out";

/** Response to a caller for one error kind. */
export interface ErrorResponse {
  /** HTTP status. */
  status: number;
  /** Default run state; an error may override it. */
  run: RunState;
  /** Whether a later retry of the same request may succeed. */
  retryable: boolean;
}

/** Response for each error kind; counted as `refusal.<kind>`. */
export const ERROR_RESPONSES: Readonly<Record<ErrorKind, ErrorResponse>> = {
  admission_refused: { status: 503, run: "not-run", retryable: true },
  answer_incomplete: { status: 502, run: "may-have-run", retryable: true },
  body_stalled: { status: 408, run: "not-run", retryable: true },
  body_too_large: { status: 413, run: "not-run", retryable: false },
  caller_cancelled: { status: 499, run: "may-have-run", retryable: false },
  call_in_progress: { status: 409, run: "may-have-run", retryable: true },
  config_conflict: { status: 409, run: "not-run", retryable: false },
  config_invalid: { status: 422, run: "not-run", retryable: false },
  config_outcome_unknown: {
    status: 503,
    run: "may-have-run",
    retryable: true,
  },
  config_version_missing: { status: 428, run: "not-run", retryable: false },
  config_version_stale: { status: 412, run: "not-run", retryable: false },
  deadline_before_start: { status: 504, run: "not-run", retryable: true },
  deadline_exceeded: { status: 504, run: "may-have-run", retryable: true },
  endpoint_failed: { status: 502, run: "may-have-run", retryable: true },
  endpoint_refused: { status: 503, run: "not-run", retryable: true },
  endpoint_unreachable: { status: 503, run: "not-run", retryable: true },
  headers_too_large: { status: 431, run: "not-run", retryable: false },
  forbidden: { status: 403, run: "not-run", retryable: false },
  idempotency_key_reused: { status: 422, run: "not-run", retryable: false },
  internal: { status: 500, run: "may-have-run", retryable: false },
  invalid_request: { status: 400, run: "not-run", retryable: false },
  memory_full: { status: 503, run: "not-run", retryable: true },
  no_endpoint: { status: 503, run: "not-run", retryable: true },
  node_not_ready: { status: 503, run: "not-run", retryable: true },
  not_found: { status: 404, run: "not-run", retryable: false },
  outcome_unknown: { status: 409, run: "may-have-run", retryable: false },
  peer_unreachable: { status: 503, run: "not-run", retryable: true },
  quarantined: { status: 422, run: "not-run", retryable: false },
  queue_full: { status: 429, run: "not-run", retryable: true },
  settings_invalid: { status: 500, run: "not-run", retryable: false },
  share_exhausted: { status: 429, run: "not-run", retryable: true },
  small_chunks: { status: 503, run: "not-run", retryable: true },
  store_outcome_unknown: { status: 503, run: "may-have-run", retryable: true },
  store_unavailable: { status: 503, run: "not-run", retryable: true },
  stream_origin_unknown: { status: 503, run: "not-run", retryable: true },
  stream_version_gone: { status: 503, run: "not-run", retryable: true },
  too_many_requests: { status: 429, run: "not-run", retryable: true },
  unauthenticated: { status: 401, run: "not-run", retryable: false },
  zone_out: { status: 503, run: "not-run", retryable: true },
};

/** All error kinds, in the order of {@linkcode ERROR_RESPONSES}. */
export const ERROR_KINDS: readonly ErrorKind[] = Object.keys(
  ERROR_RESPONSES,
) as ErrorKind[];
