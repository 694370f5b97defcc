/** Endpoint ownership and admission control. */
export {
  AdmissionClient,
  type AdmissionClientOptions,
  type AdmissionRequest,
  type AdmissionResponse,
} from "./admission_client.ts";
export { CrashTracker } from "./crash_tracker.ts";
export { type ColdStart, coldStartLimit, loadLimit } from "./endpoint_limit.ts";
export { EndpointOwner, type EndpointOwnerOptions } from "./endpoint_owner.ts";
export { OwnedEndpoint } from "./owned_endpoint.ts";
