import type { EndpointInfo } from "@limpetshed/membership";
import type { WorkPriority } from "@limpetshed/endpoint";
import type { ChatKeys } from "./chat_keys.ts";

/** A request to be assigned to an endpoint. */
export interface PlacementRequest {
  service: string;
  /** Undefined for calls to plain services. */
  keys: ChatKeys | undefined;
  /** Hash that identifies the request across attempts. */
  fingerprint: bigint;
  /** Estimated number of prompt tokens. */
  promptTokens: number;
  priority: WorkPriority;
  /** Maximum wait for admission, in milliseconds. */
  maxWaitMs: number;
  /** Ids of endpoints that were already tried. */
  exclude: ReadonlySet<string>;
}

/** How a request ended at its assigned endpoint. */
export type AssignmentOutcome =
  | "completed"
  | "cancelled"
  | "not_sent"
  | "failed"
  | "connection_lost";

/** An endpoint on which the request may run now. */
export interface Assignment {
  endpoint: EndpointInfo;
  /** Reports how the request ended; must be called exactly once. */
  finish(outcome: AssignmentOutcome): void;
}

/** Chooses an endpoint for each request. */
export abstract class PlacementPolicy {
  /**
   * Assigns a request to an endpoint.
   *
   * @throws RouterError `no_endpoint`, `zone_out`, `admission_refused` or
   *   `quarantined`; the request did not run.
   */
  abstract place(req: PlacementRequest): Promise<Assignment>;
}
