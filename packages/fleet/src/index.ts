/** Communication between nodes: load exchange and shared state from peers. */
export {
  type LimitHandlers,
  LoadExchange,
  type LoadExchangeOptions,
} from "./load_exchange.ts";
export {
  decodeSpeedMessage,
  encodeSpeedMessage,
  type SpeedEntry,
} from "./speed_message.ts";
export { decodeUpdate } from "./decode_update.ts";
export {
  decodeLimitMessage,
  type LimitEntry,
  type LoanEntry,
  type NeedEntry,
} from "./limit_message.ts";
export {
  decodeLoadMessage,
  encodeLoadMessage,
  type LoadMessage,
} from "./load_message.ts";
export {
  type Lease,
  NodeRegistration,
  type NodeRegistrationOptions,
  type RegistrationStore,
} from "./node_registration.ts";
export {
  PeerChangeSource,
  type PeerChangeSourceOptions,
} from "./peer_change_source.ts";
export {
  type Peer,
  type PeerAddress,
  PeerDirectory,
} from "./peer_directory.ts";
export { PeerClient } from "./peer_client.ts";
export { CONFIG_PATH, PeerServer, PLACEMENTS_PATH } from "./peer_server.ts";
export { StreamLog, type StreamLogOptions } from "./stream_log.ts";
export type { VersionMark } from "./version_marks.ts";
export {
  decodeStoredMessage,
  decodeStreamMessage,
  encodeStoredMessage,
  encodeStreamMessage,
  isStreamGroup,
  type StoredStreams,
  type StreamGroupEntry,
  type StreamReport,
} from "./stream_message.ts";
export { askTunnelEnd, type AskTunnelEndOptions } from "./ask_tunnel_end.ts";
export {
  openTunnel,
  TUNNEL_OUTCOME_HEADER,
  type TunnelOutcome,
  type TunnelResult,
} from "./tunnel_client.ts";
export {
  hasHost,
  TunnelServer,
  type TunnelServerOptions,
} from "./tunnel_server.ts";
export {
  chooseWatchers,
  rankWriters,
  type StoreConnectivity,
  type WatcherCandidate,
} from "./choose_watchers.ts";
export {
  decodeRolloutMessage,
  encodeRolloutMessage,
  type RolloutCellEntry,
  type RolloutReportEntry,
} from "./rollout_message.ts";
export {
  type ConditionalStore,
  type ConditionalWrite,
  RolloutStatusWriter,
  type RolloutStatusWriterOptions,
  type StatusWish,
} from "./rollout_status_writer.ts";
export {
  FANOUT,
  ROUND_INTERVAL_MS,
  roundsToReachAll,
} from "./broadcast_schedule.ts";
