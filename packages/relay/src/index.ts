/** Relays requests of callers to endpoints and their answers back. */
export { AnswerSink, type AnswerSinkOptions } from "./answer_sink.ts";
export { CallRelay, type CallRelayOptions } from "./call_relay.ts";
export {
  ConnectionPool,
  type ConnectionPoolOptions,
} from "./connection_pool.ts";
export { FrontServer, type FrontServerOptions } from "./front_server.ts";
export type { RelayCall } from "./relay_call.ts";
export { RelayObserver, type SendRecord } from "./relay_observer.ts";
export type { SendResult } from "./send_attempt.ts";
export {
  type AnswerFacts,
  type CallFacts,
  type SendFacts,
  WireFormat,
} from "./wire_format.ts";
export {
  type PolicyParts,
  RelayNode,
  type RelayNodeOptions,
} from "./relay_node.ts";
export {
  DecisionObserver,
  type DecisionObserverOptions,
} from "./decision_observer.ts";
export { MetricsServer } from "./metrics_server.ts";
