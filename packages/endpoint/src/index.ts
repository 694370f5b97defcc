/** Client for endpoints. */
export { DONE_DATA, readAnswer, type StreamOpener } from "./answer_stream.ts";
export {
  type CacheEvent,
  type ChatCall,
  EndpointClient,
  type EndpointOrder,
  type EndpointState,
  type EndpointTarget,
  type LoadedState,
  type LoadReport,
  type PlainAnswer,
  type PlainCall,
  type StreamEvent,
  type Usage,
  type WholeAnswer,
  type WorkPriority,
} from "./endpoint_client.ts";
export { EndpointError } from "./endpoint_error.ts";
export { EventSequencer } from "./event_sequencer.ts";
export {
  CHAT_KEY_HEADER,
  cleanHeaders,
  NOT_RUN_HEADER,
  PRIORITY_HEADER,
  REQUEST_ID_HEADER,
} from "./endpoint_http.ts";
export {
  HttpEndpointClient,
  type HttpEndpointClientOptions,
} from "./http_endpoint_client.ts";
export { readUsage } from "./usage.ts";
