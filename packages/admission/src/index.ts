/** Endpoint ownership and admission. */
export {
  type AdmissionAnswer,
  AdmissionClient,
  type AdmissionClientOptions,
  type AdmissionQuery,
} from "./admission_client.ts";
export { CrashTracker } from "./crash_tracker.ts";
export { type ColdStart, coldStartLimit, loadLimit } from "./endpoint_limit.ts";
export { EndpointOwner, type EndpointOwnerOptions } from "./endpoint_owner.ts";
export { OwnedEndpoint } from "./owned_endpoint.ts";
