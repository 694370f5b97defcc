import type * as net from "node:net";

/** A connection that is to be opened. */
export interface ConnectRequest {
  /** `ip:port` of the endpoint. */
  address: string;
  /** Milliseconds after which the attempt fails. */
  timeoutMs: number;
  /** Ends the attempt. */
  signal: AbortSignal;
}

/** A connection to an endpoint, without listeners. */
export interface OpenedConnection {
  socket: net.Socket;
  /** Whether it leads by way of another node; then it carries one request. */
  isDetour: boolean;
  /** Resolves to whether the endpoint ended the connection, to be asked after its
   * end; it did if undefined. */
  confirmEnd?: () => Promise<boolean>;
}

/** Code of the error of a connection that the endpoint's system refused. */
export const REFUSED_CODE = "ECONNREFUSED";

/** Opens connections to endpoints. */
export abstract class EndpointConnector {
  /** Resolves to an established connection; rejects with the error of the system
   * if there is one. */
  abstract connect(req: ConnectRequest): Promise<OpenedConnection>;
}
