/** Client for endpoints and its protocol types. */
export { DONE_DATA, readChatStream, type StreamOpener } from "./chat_stream.ts";
export {
  type CacheEvent,
  type ChatCall,
  type ChatResponse,
  EndpointClient,
  type EndpointOrder,
  type EndpointState,
  type EndpointTarget,
  type LoadedState,
  type LoadReport,
  type PlainCall,
  type PlainResponse,
  type StreamEvent,
  type TokenUsage,
  type WorkPriority,
} from "./endpoint_client.ts";
export { EndpointError } from "./endpoint_error.ts";
export { EventSequencer } from "./event_sequencer.ts";
export {
  CHAT_KEY_HEADER,
  NOT_RUN_HEADER,
  PRIORITY_HEADER,
  removeHopByHopHeaders,
  REQUEST_ID_HEADER,
} from "./endpoint_http.ts";
export {
  HttpEndpointClient,
  type HttpEndpointClientOptions,
} from "./http_endpoint_client.ts";
export { readUsage } from "./read_usage.ts";
