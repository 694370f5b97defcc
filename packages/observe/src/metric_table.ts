import { ERROR_KINDS, type ErrorKind } from "@limpetshed/errors";

/** Why a request was retried, on the same or another target. */
export type RetryReason =
  | "admission_at_limit"
  | "connect_failed"
  | "endpoint_refused"
  | "first_byte_missing"
  | "not_owner"
  | "out_of_service"
  | "peer_unreachable"
  | "settling"
  | "stream_resumed";

/** Every retry reason, sorted. */
export const RETRY_REASONS: readonly RetryReason[] = [
  "admission_at_limit",
  "connect_failed",
  "endpoint_refused",
  "first_byte_missing",
  "not_owner",
  "out_of_service",
  "peer_unreachable",
  "settling",
  "stream_resumed",
];

/** Purpose of a store call; each purpose has its own counter. */
export type StorePurpose =
  | "claim"
  | "claim_outcome"
  | "config_patch"
  | "config_read"
  | "config_watch"
  | "lease"
  | "order";

/** Every store call purpose, sorted. */
export const STORE_PURPOSES: readonly StorePurpose[] = [
  "claim",
  "claim_outcome",
  "config_patch",
  "config_read",
  "config_watch",
  "lease",
  "order",
];

/** Name of a metric. */
export type MetricName =
  | "admission.granted"
  | "admission.refused"
  | "admission.expired"
  | "cache.cached_tokens"
  | "cache.prompt_tokens"
  | "chat.resumed"
  | "claim.abandoned"
  | "claim.replayed"
  | "claim.taken_over"
  | "config.version"
  | "endpoint.in_flight"
  | "invariant.broken"
  | "membership.alive"
  | "order.refused_stale"
  | "order.sent"
  | "peer.bytes_received"
  | "peer.bytes_sent"
  | "peer.frames_received"
  | "peer.frames_sent"
  | "quarantine.added"
  | "request.duration"
  | "request.total"
  | "share.spare_admitted"
  | "share.spent"
  | "store.refused_budget"
  | `refusal.${ErrorKind}`
  | `retry.${RetryReason}`
  | `store.call.${StorePurpose}`;

/** How a metric is recorded. */
export type MetricType = "counter" | "gauge" | "timing";

/** Definition of a metric. */
export interface MetricRow {
  type: MetricType;
  unit: string;
  description: string;
}

const FIXED_ROWS: Readonly<Record<string, MetricRow>> = {
  "admission.granted": row("counter", "admissions", "Admissions granted."),
  "admission.refused": row("counter", "admissions", "Admissions refused."),
  "admission.expired": row(
    "counter",
    "admissions",
    "Admissions that expired because their entry node stopped renewing them.",
  ),
  "cache.cached_tokens": row(
    "counter",
    "tokens",
    "Prompt tokens that endpoints read from their prefix cache.",
  ),
  "cache.prompt_tokens": row("counter", "tokens", "Prompt tokens in total."),
  "chat.resumed": row("counter", "streams", "Interrupted streams resumed."),
  "claim.abandoned": row(
    "counter",
    "claims",
    "Claims abandoned before sending.",
  ),
  "claim.replayed": row("counter", "calls", "Recorded responses replayed."),
  "claim.taken_over": row("counter", "claims", "Abandoned claims taken over."),
  "config.version": row(
    "gauge",
    "version",
    "Configuration version active on the node.",
  ),
  "endpoint.in_flight": row(
    "gauge",
    "requests",
    "Open admissions at endpoints owned by the node.",
  ),
  "invariant.broken": row(
    "counter",
    "events",
    "Invariant violations; alert on any.",
  ),
  "membership.alive": row("gauge", "nodes", "Nodes considered alive."),
  "order.refused_stale": row(
    "counter",
    "orders",
    "Orders rejected for a stale fencing number.",
  ),
  "order.sent": row("counter", "orders", "Orders sent to endpoints."),
  "peer.bytes_received": row(
    "gauge",
    "bytes",
    "Bytes received from peers since process start, as sent on the wire.",
  ),
  "peer.bytes_sent": row(
    "gauge",
    "bytes",
    "Bytes sent to peers since process start, as sent on the wire.",
  ),
  "peer.frames_received": row(
    "counter",
    "frames",
    "Frames received from peers.",
  ),
  "peer.frames_sent": row("counter", "frames", "Frames sent to peers."),
  "quarantine.added": row("counter", "requests", "Requests quarantined."),
  "request.duration": row("timing", "ms", "Total duration of a request."),
  "request.total": row("counter", "requests", "Requests received."),
  "share.spare_admitted": row(
    "counter",
    "requests",
    "Requests above their member's share admitted on idle capacity.",
  ),
  "share.spent": row("counter", "tokens", "Tokens charged to member shares."),
  "store.refused_budget": row(
    "counter",
    "calls",
    "Store calls rejected because the call budget was exhausted.",
  ),
};

/** All metrics by name; the reference page is generated from this table. */
export const METRIC_TABLE: Readonly<Record<string, MetricRow>> = {
  ...FIXED_ROWS,
  ...Object.fromEntries(
    ERROR_KINDS.map((kind) => [
      `refusal.${kind}`,
      row("counter", "answers", `Responses of error kind ${kind}.`),
    ]),
  ),
  ...Object.fromEntries(
    RETRY_REASONS.map((reason) => [
      `retry.${reason}`,
      row("counter", "attempts", `Retries for reason ${reason}.`),
    ]),
  ),
  ...Object.fromEntries(
    STORE_PURPOSES.map((purpose) => [
      `store.call.${purpose}`,
      row("counter", "calls", `Store calls for purpose ${purpose}.`),
    ]),
  ),
};

function row(type: MetricType, unit: string, description: string): MetricRow {
  return { type, unit, description };
}
