/** Node-to-node RPC: messages, transports and the server. */
export {
  ConnectPeerTransport,
  type ConnectPeerTransportOptions,
} from "./connect_peer_transport.ts";
export { FakePeerNetwork } from "./fake_peer_network.ts";
export * as peerpb from "./generated/limpetshed/peer/v1/peer_pb.ts";
export {
  type FrameBody,
  type MessageOf,
  type RequestName,
  RESPONSE_NAMES,
  type ResponseOf,
} from "./messages.ts";
export {
  PEER_KEY_HEADER,
  type PeerCredentials,
  type PeerTls,
  secretsEqual,
} from "./peer_credentials.ts";
export { type PeerHandler, PeerHandlers } from "./peer_handlers.ts";
export { PeerServer, type PeerServerOptions } from "./peer_server.ts";
export { PeerTransport } from "./peer_transport.ts";
export { SocketByteCounter } from "./socket_byte_counter.ts";
