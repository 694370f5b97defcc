import type { SendOutcome } from "@limpetshed/dispatch";
import { isEventStream } from "./response_body.ts";
import type { ResponseHead } from "./endpoint_connection.ts";
import type { ResponseMetadata } from "./wire_format.ts";

/** Why a response must not be relayed. */
export interface UnusableResponse {
  outcome: SendOutcome;
  reason: string;
}

/** Options of {@linkcode classifyUnusable}. */
export interface ClassifyOptions {
  head: ResponseHead;
  metadata: ResponseMetadata;
  /** Id of the request that was sent. */
  requestId: string;
  /** Whether the connection has carried earlier requests. */
  isReusedConnection: boolean;
  /** Whether part of another endpoint's response was relayed. */
  isResumption: boolean;
  /** Called on a server error of the endpoint; if it returns true, the request
   * is retried and the response is discarded. */
  onServerError: () => boolean;
}

/** Statuses that tell a client that its request has not run. A response with
 * one of them is not relayed if the endpoint did not set the not-run header. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Returns why a response must not be relayed, or undefined if it may be. */
export function classifyUnusable(
  {
    head: { status, headers },
    metadata,
    requestId,
    isReusedConnection,
    isResumption,
    onServerError,
  }: ClassifyOptions,
): UnusableResponse | undefined {
  // Without a request id, a response on a reused connection may belong to an
  // earlier request.
  const belongsToRequest = metadata.requestId === undefined
    ? !isReusedConnection
    : metadata.requestId === requestId;
  if (!belongsToRequest) {
    return { outcome: "lost", reason: "response to another request" };
  }
  if (metadata.isMisdirected) {
    return { outcome: "misdirected", reason: "another endpoint answered" };
  }
  if (metadata.isNotRun) {
    return { outcome: "rejected", reason: `status ${status}` };
  }
  if (status >= 500 && onServerError()) {
    return { outcome: "failed", reason: `status ${status}` };
  }
  if (NOT_RUN_STATUSES.has(status)) {
    return {
      outcome: "lost",
      reason: `status ${status} without the not-run header`,
    };
  }
  const isEncoded = headers["content-encoding"] !== undefined;
  if (status < 400 && (!metadata.isSigned || isEncoded)) {
    return {
      outcome: "lost",
      reason: "response is unsigned or has a content encoding",
    };
  }
  if (isResumption && (status !== 200 || !isEventStream(headers))) {
    const type = headers["content-type"] ?? "no type";
    return {
      outcome: "lost",
      reason: `status ${status} with ${type} on stream resumption`,
    };
  }
  return undefined;
}
