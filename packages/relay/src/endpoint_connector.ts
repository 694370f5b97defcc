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

/** Opens connections to endpoints. */
export abstract class EndpointConnector {
  /** Resolves to an established connection without listeners; rejects with the
   * error of the system if there is one. */
  abstract connect(req: ConnectRequest): Promise<net.Socket>;
}
