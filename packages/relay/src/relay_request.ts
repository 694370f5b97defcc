import type { Buffer } from "node:buffer";
import type { AttemptCounts, PromptInfo } from "@limpetshed/dispatch";
import type { Route } from "@limpetshed/routing";

/** State of a request across its attempts. */
export interface RequestProgress {
  counts: AttemptCounts;
  /** Keys of the endpoints that have been tried. */
  tried: Set<string>;
  /** Number of attempts in which an endpoint may have received the request. */
  receivedAttempts: number;
  /** Whether an endpoint may have run the request. */
  mayHaveRun: boolean;
  /** Software version at which the stream began and has to go on; undefined
   * before its first event. */
  version: string | undefined;
  /** Software version at which an earlier attempt was reported to have begun the
   * stream, though it did not: another one would make two records of it. */
  reportedVersion: string | undefined;
}

/** What a client says of a stream that it resumes. */
export interface StreamResumption {
  /** Id of the client's attempt that received the first event, if named. */
  firstRequestId: string | undefined;
  /** Id of the last event that the client has, if named. */
  lastEventId: string | undefined;
}

/** A client request that this node relays, with its routing and progress. */
export interface RelayRequest extends RequestProgress {
  requestId: string;
  method: string;
  /** Path and query as received from the client. */
  path: string;
  /** The client's headers, names and values alternating. */
  rawHeaders: readonly string[];
  /** Value of the client's `connection` header. */
  connectionHeader: string | undefined;
  body: Buffer | null;
  route: Route;
  service: string;
  /** Version of the configuration used to route the request. */
  configVersion: number;
  account: string | undefined;
  /** Priority class; 0 is the highest. */
  priority: number;
  prompt: PromptInfo | undefined;
  /** What the prompt has in common with others and may crash endpoints. */
  promptTraits: readonly string[];
  /** The stream that the client resumes, if it does. */
  resumption: StreamResumption | undefined;
  /** Hash that is identical for all retries of the request, also on other
   * nodes; computed on first use. */
  fingerprint: () => string;
  /** Monotonic time at which the request arrived. */
  arrivedMs: number;
  /** Monotonic time by which the response must be complete. */
  deadlineMs: number;
  /** Aborts when the client disconnects or the deadline passes. */
  signal: AbortSignal;
}

/** Why a request is aborted: its client disconnected, its deadline passed, or the
 * grace period of this node is over. Reason of {@linkcode RelayRequest.signal}. */
export type AbortReason = "caller_gone" | "time_over" | "node_stopping";

/** Returns the state of a request before its first attempt. */
export function initialProgress(): RequestProgress {
  return {
    counts: { sends: 0, unsent: 0 },
    tried: new Set(),
    receivedAttempts: 0,
    mayHaveRun: false,
    version: undefined,
    reportedVersion: undefined,
  };
}

/** Software version to which the next attempt must go, if any. */
export function requiredVersion(
  { version, reportedVersion }: RelayRequest,
): string | undefined {
  return version ?? reportedVersion;
}
