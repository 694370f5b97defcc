import type * as net from "node:net";

/** Why a connection by way of other nodes was not established. */
export type TunnelFailure =
  /** The endpoint's system refused the connections of all helpers. */
  | "refused"
  /** The helpers could not establish a connection. */
  | "unreachable"
  /** There is no other node to ask. */
  | "no_helper";

/** The failure of a connection by way of other nodes. */
export class TunnelError extends Error {
  override readonly name = "TunnelError";
  readonly failure: TunnelFailure;

  constructor(failure: TunnelFailure) {
    super(`no connection by way of other nodes: ${failure}`);
    this.failure = failure;
  }
}

/** A connection to an endpoint by way of another node. */
export interface HelperTunnel {
  /** Without listeners. */
  socket: net.Socket;
  /** Resolves to whether the other node vouches that the endpoint ended the
   * connection, to be asked after its end. */
  confirmEnd: () => Promise<boolean>;
}

/** Opens connections to endpoints by way of other nodes. */
export abstract class HelperTunnels {
  /**
   * Resolves to an established connection to the endpoint at `ip:port`.
   *
   * @throws TunnelError if there is none.
   */
  abstract open(
    address: string,
    options: { signal: AbortSignal },
  ): Promise<HelperTunnel>;
}

/** The tunnels of a node without others. */
export class NoTunnels extends HelperTunnels {
  override open(): Promise<HelperTunnel> {
    return Promise.reject(new TunnelError("no_helper"));
  }
}
