import type { EndpointInfo } from "@limpetshed/membership";
import type { WorkPriority } from "@limpetshed/endpoint";
import type { ChatKeys } from "./chat_keys.ts";

/** One request that needs an endpoint. */
export interface PlacementRequest {
  service: string;
  /** Undefined for calls of plain services. */
  keys: ChatKeys | undefined;
  /** Identity of the request's content. */
  fingerprint: bigint;
  /** Prompt tokens, estimated. */
  promptTokens: number;
  priority: WorkPriority;
  /** Longest wait for admission, in milliseconds. */
  maxWaitMs: number;
  /** Endpoints already tried. */
  exclude: ReadonlySet<string>;
}

/** How the work at a place ended. */
export type AssignmentOutcome =
  | "completed"
  | "cancelled"
  | "not_sent"
  | "failed"
  | "connection_lost";

/** An endpoint that may run the request now. */
export interface Assignment {
  endpoint: EndpointInfo;
  /** Must be called exactly once. */
  finish(outcome: AssignmentOutcome): void;
}

/** Chooses an endpoint for each request. */
export abstract class PlacementPolicy {
  /**
   * Finds a place.
   *
   * @throws RouterError `no_endpoint`, `zone_out`, `admission_refused` or
   *   `quarantined`; the request was not run.
   */
  abstract place(req: PlacementRequest): Promise<Assignment>;
}
