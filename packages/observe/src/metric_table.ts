import { ERROR_KINDS, type ErrorKind } from "@limpetshed/errors";

/** Why an attempt was made again or elsewhere. */
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

/** What a store call is for; each purpose has its own counter. */
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

/** Names of metrics. */
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

/** One row of the metrics table. */
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
    "Admissions dropped because their entry node stopped renewing them.",
  ),
  "cache.cached_tokens": row(
    "counter",
    "tokens",
    "Prompt tokens that endpoints served from their prefix cache.",
  ),
  "cache.prompt_tokens": row("counter", "tokens", "Prompt tokens in all."),
  "chat.resumed": row("counter", "streams", "Broken streams resumed."),
  "claim.abandoned": row("counter", "claims", "Claims given up unsent."),
  "claim.replayed": row("counter", "calls", "Recorded outcomes replayed."),
  "claim.taken_over": row("counter", "claims", "Abandoned claims taken over."),
  "config.version": row("gauge", "version", "Configuration in force here."),
  "endpoint.in_flight": row("gauge", "requests", "Open admissions, owned."),
  "invariant.broken": row("counter", "events", "Broken invariants; alert."),
  "membership.alive": row("gauge", "nodes", "Nodes believed alive."),
  "order.refused_stale": row("counter", "orders", "Stale fencing numbers."),
  "order.sent": row("counter", "orders", "Orders given to endpoints."),
  "peer.bytes_received": row("gauge", "bytes", "On the wire, since the start."),
  "peer.bytes_sent": row("gauge", "bytes", "On the wire, since the start."),
  "peer.frames_received": row("counter", "frames", "Frames from peers."),
  "peer.frames_sent": row("counter", "frames", "Frames to peers."),
  "quarantine.added": row("counter", "requests", "Requests quarantined."),
  "request.duration": row("timing", "ms", "Whole time of a request."),
  "request.total": row("counter", "requests", "Requests received."),
  "share.spare_admitted": row(
    "counter",
    "requests",
    "Requests above their member's share admitted on idle capacity.",
  ),
  "share.spent": row("counter", "tokens", "Work charged to shares."),
  "store.refused_budget": row(
    "counter",
    "calls",
    "Store calls not made because the call budget was spent.",
  ),
};

/** The documented table of every metric. */
export const METRIC_TABLE: Readonly<Record<string, MetricRow>> = {
  ...FIXED_ROWS,
  ...Object.fromEntries(
    ERROR_KINDS.map((kind) => [
      `refusal.${kind}`,
      row("counter", "answers", `Answers of error kind ${kind}.`),
    ]),
  ),
  ...Object.fromEntries(
    RETRY_REASONS.map((reason) => [
      `retry.${reason}`,
      row("counter", "attempts", `Attempts made again: ${reason}.`),
    ]),
  ),
  ...Object.fromEntries(
    STORE_PURPOSES.map((purpose) => [
      `store.call.${purpose}`,
      row("counter", "calls", `Calls to the store for ${purpose}.`),
    ]),
  ),
};

function row(type: MetricType, unit: string, description: string): MetricRow {
  return { type, unit, description };
}
