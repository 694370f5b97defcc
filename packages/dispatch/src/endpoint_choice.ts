import type { ServiceSpec } from "@limpetshed/routing";
import type { Endpoint } from "./endpoint_registry.ts";
import type { OverloadRefusal, OverloadRequest } from "./overload_guard.ts";
import type { PromptInfo } from "./prompt_info.ts";

/** Why no endpoint is available for a request. */
export type NoChoiceReason =
  /** The service has no usable endpoint. */
  | "none_in_service"
  /** Every endpoint has been tried. */
  | "all_tried"
  /** The remaining endpoints asked this node for a rest. */
  | "resting"
  /** The remaining endpoints are cold and at their rate limit. */
  | "cold_limit"
  /** The remaining endpoints name limits, and this node has no share left. */
  | "endpoint_limit"
  /** The remaining endpoints go down if they have to reject requests, and have no
   * room left. */
  | "brittle"
  /** This node may not open more connections to the remaining endpoints. */
  | "connection_limit"
  /** The request has to go on at a software version that no usable endpoint
   * has. */
  | "version_gone"
  /** Several endpoints went down while executing the request. */
  | "crash_suspect"
  | OverloadRefusal;

/** Why there is no endpoint for a request. */
export interface NoChoice {
  refusal: NoChoiceReason;
  /** Expected time until the request may succeed, milliseconds, if known. */
  waitMs?: number;
  /** Time after which the caller may come back, milliseconds, if it differs from
   * `waitMs`. */
  retryAfterMs?: number;
  /** What the request has in common with others that crashed endpoints. */
  trait?: string;
}

/** The chosen endpoint, or why there is none. */
export type Choice =
  | {
    endpoint: Endpoint;
    /** Endpoint to copy cached parts of the prompt from. */
    copyFrom?: Endpoint;
    /** Number of endpoints that the policy chose from. */
    candidates: number;
  }
  | NoChoice;

/** A request for which an endpoint is to be chosen. */
export interface ChoiceRequest {
  spec: ServiceSpec;
  prompt: PromptInfo | undefined;
  /** Keys of endpoints that were already tried for the request. */
  tried: ReadonlySet<string>;
  /** Software version at which the request has to go on, if it has begun. */
  version?: string;
  /** Which endpoints may take the request; all if undefined. */
  isEligible?: (endpoint: Endpoint) => boolean;
  /** Properties of the request that the overload guard uses. */
  overloadInput: Pick<
    OverloadRequest,
    "account" | "priority" | "targetLatencyMs" | "leftMs"
  >;
}
