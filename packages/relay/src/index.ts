/** Relays client requests to endpoints and streams the responses back. */
export {
  ResponseWriter,
  type ResponseWriterOptions,
} from "./response_writer.ts";
export {
  RequestForwarder,
  type RequestForwarderOptions,
} from "./request_forwarder.ts";
export {
  ConnectionPool,
  type ConnectionPoolOptions,
} from "./connection_pool.ts";
export {
  MAX_PARSER_HEADER_BYTES,
  RelayServer,
  type RelayServerOptions,
} from "./relay_server.ts";
export type { AbortReason, RelayRequest } from "./relay_request.ts";
export { RelayObserver, type SendRecord } from "./relay_observer.ts";
export type { SendResult } from "./send_result.ts";
export { parseRetryAfter } from "./parse_retry_after.ts";
export {
  type RequestMetadata,
  type ResponseMetadata,
  type SendMetadata,
  WireFormat,
} from "./wire_format.ts";
export type { PolicyDependencies } from "./policy_dependencies.ts";
export { type OwnResponse } from "./own_requests.ts";
export { RelayNode } from "./relay_node.ts";
export type { RelayNodeOptions } from "./relay_node_options.ts";
export {
  TelemetryObserver,
  type TelemetryObserverOptions,
} from "./telemetry_observer.ts";
export { DirectConnector } from "./direct_connector.ts";
export {
  type ConnectRequest,
  EndpointConnector,
  type OpenedConnection,
  REFUSED_CODE,
} from "./endpoint_connector.ts";
export {
  type HelperTunnel,
  HelperTunnels,
  TunnelError,
  type TunnelFailure,
} from "./helper_tunnels.ts";
export { type StateView } from "./state_view.ts";
export {
  StreamOriginResolver,
  type StreamOriginResolverOptions,
} from "./stream_origin_resolver.ts";
export {
  DEFAULT_MACHINE_LIMITS,
  type MachineLimits,
} from "./client_resources.ts";
export { MetricsServer } from "./metrics_server.ts";
