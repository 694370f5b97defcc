/** Whether the request that was refused or failed may have run. */
export type RunState = "not-run" | "may-have-run" | "ran";

/** The closed list of error kinds. */
export type ErrorKind =
  | "admission_refused"
  | "answer_incomplete"
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
  | "no_endpoint"
  | "node_not_ready"
  | "not_found"
  | "outcome_unknown"
  | "peer_unreachable"
  | "quarantined"
  | "queue_full"
  | "settings_invalid"
  | "share_exhausted"
  | "store_outcome_unknown"
  | "store_unavailable"
  | "too_many_requests"
  | "unauthenticated"
  | "zone_out";

/** What a caller is told for one error kind. */
export interface ErrorAnswer {
  /** HTTP status. */
  status: number;
  /** Run state, unless the place that raises the error knows better. */
  run: RunState;
  /** Whether sending the same request again later may help. */
  retryHelps: boolean;
}

/** The answer for each error kind; the counter is `refusal.<kind>`. */
export const ERROR_ANSWERS: Readonly<Record<ErrorKind, ErrorAnswer>> = {
  admission_refused: { status: 503, run: "not-run", retryHelps: true },
  answer_incomplete: { status: 502, run: "may-have-run", retryHelps: true },
  body_too_large: { status: 413, run: "not-run", retryHelps: false },
  caller_cancelled: { status: 499, run: "may-have-run", retryHelps: false },
  call_in_progress: { status: 409, run: "may-have-run", retryHelps: true },
  config_conflict: { status: 409, run: "not-run", retryHelps: false },
  config_invalid: { status: 422, run: "not-run", retryHelps: false },
  config_outcome_unknown: {
    status: 503,
    run: "may-have-run",
    retryHelps: true,
  },
  config_version_missing: { status: 428, run: "not-run", retryHelps: false },
  config_version_stale: { status: 412, run: "not-run", retryHelps: false },
  deadline_before_start: { status: 504, run: "not-run", retryHelps: true },
  deadline_exceeded: { status: 504, run: "may-have-run", retryHelps: true },
  endpoint_failed: { status: 502, run: "may-have-run", retryHelps: true },
  endpoint_refused: { status: 503, run: "not-run", retryHelps: true },
  endpoint_unreachable: { status: 503, run: "not-run", retryHelps: true },
  headers_too_large: { status: 431, run: "not-run", retryHelps: false },
  forbidden: { status: 403, run: "not-run", retryHelps: false },
  idempotency_key_reused: { status: 422, run: "not-run", retryHelps: false },
  internal: { status: 500, run: "may-have-run", retryHelps: false },
  invalid_request: { status: 400, run: "not-run", retryHelps: false },
  no_endpoint: { status: 503, run: "not-run", retryHelps: true },
  node_not_ready: { status: 503, run: "not-run", retryHelps: true },
  not_found: { status: 404, run: "not-run", retryHelps: false },
  outcome_unknown: { status: 409, run: "may-have-run", retryHelps: false },
  peer_unreachable: { status: 503, run: "not-run", retryHelps: true },
  quarantined: { status: 422, run: "not-run", retryHelps: false },
  queue_full: { status: 429, run: "not-run", retryHelps: true },
  settings_invalid: { status: 500, run: "not-run", retryHelps: false },
  share_exhausted: { status: 429, run: "not-run", retryHelps: true },
  store_outcome_unknown: { status: 503, run: "may-have-run", retryHelps: true },
  store_unavailable: { status: 503, run: "not-run", retryHelps: true },
  too_many_requests: { status: 429, run: "not-run", retryHelps: true },
  unauthenticated: { status: 401, run: "not-run", retryHelps: false },
  zone_out: { status: 503, run: "not-run", retryHelps: true },
};

/** Every error kind, sorted. */
export const ERROR_KINDS: readonly ErrorKind[] = Object.keys(
  ERROR_ANSWERS,
) as ErrorKind[];
