import type { Buffer } from "node:buffer";
import type { AttemptCounts, PromptInfo } from "@limpetshed/dispatch";
import type { Route } from "@limpetshed/routing";

/** What a request has met so far. */
export interface CallProgress {
  counts: AttemptCounts;
  /** Endpoints that it has been sent to. */
  tried: Set<string>;
  /** Sends that reached an endpoint. */
  arrivals: number;
  /** Whether an endpoint may have run it. */
  mayHaveRun: boolean;
}

/** One request of a caller on its way through this node. */
export interface RelayCall extends CallProgress {
  requestId: string;
  method: string;
  /** Path and query as the caller sent them. */
  path: string;
  /** The caller's headers, names and values in turn. */
  rawHeaders: readonly string[];
  /** Value of the caller's `connection` header. */
  connectionHeader: string | undefined;
  body: Buffer | null;
  route: Route;
  service: string;
  /** Version of the configuration that routed it. */
  configVersion: number;
  account: string | undefined;
  /** Rank, 0 is most urgent. */
  priority: number;
  prompt: PromptInfo | undefined;
  /** The same for every repeat of the request, also at other nodes; worked out
   * when first asked for. */
  fingerprint: () => string;
  /** Monotonic time of its arrival. */
  arrivedMs: number;
  /** Monotonic time by which it must be answered. */
  endsMs: number;
  /** Aborts when the caller has left or the time is over. */
  signal: AbortSignal;
}

/** Why a call's signal aborted. */
export type AbortReason = "caller_gone" | "time_over";

/** The progress of a request that has not been sent. */
export function newProgress(): CallProgress {
  return {
    counts: { sends: 0, unsent: 0 },
    tried: new Set(),
    arrivals: 0,
    mayHaveRun: false,
  };
}
