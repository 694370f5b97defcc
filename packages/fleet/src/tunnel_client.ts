import * as http from "node:http";
import type * as net from "node:net";
import { type Clock, splitHostPort } from "@limpetshed/base";

/** How another node answered a request for a tunnel. */
export type TunnelOutcome =
  /** The tunnel stands. */
  | "open"
  /** The endpoint's system refused the connection of that node. */
  | "refused"
  /** That node could not establish a connection. */
  | "unreachable"
  /** That node takes no tunnel, or does not answer. */
  | "unavailable";

/** Header with the outcome of a tunnel that was not established. */
export const TUNNEL_OUTCOME_HEADER = "limpetshed-tunnel";

/** Header with the id of an established tunnel, by which its helper tells how it
 * ended. */
export const TUNNEL_ID_HEADER = "limpetshed-tunnel-id";

/** Options of {@linkcode openTunnel}. */
export interface OpenTunnelOptions {
  clock: Clock;
  /** IP address of this node, by which the other one recognises it. */
  ownIp: string;
  /** `ip:port` at which the other node takes calls. */
  helper: string;
  /** `ip:port` of the endpoint. */
  target: string;
  timeoutMs: number;
  signal: AbortSignal;
}

/** Result of {@linkcode openTunnel}. */
export type TunnelResult =
  | {
    outcome: "open";
    socket: net.Socket;
    /** Undefined if the other node does not tell how its tunnels end. */
    id: string | undefined;
  }
  | { outcome: Exclude<TunnelOutcome, "open"> };

/** Asks another node for a tunnel to an endpoint; never rejects. */
export function openTunnel(
  { clock, ownIp, helper, target, timeoutMs, signal }: OpenTunnelOptions,
): Promise<TunnelResult> {
  const req = http.request({
    ...splitHostPort(helper),
    localAddress: ownIp,
    method: "CONNECT",
    path: target,
    agent: false,
    signal,
  });
  return new Promise((resolve) => {
    const timer = clock.setTimer(timeoutMs, () => req.destroy());
    const finish = (result: TunnelResult) => {
      timer.cancel();
      resolve(result);
    };
    req.once("connect", (res, socket: net.Socket, head) => {
      if (res.statusCode !== 200) {
        socket.destroy();
        finish({ outcome: toFailure(res.headers[TUNNEL_OUTCOME_HEADER]) });
        return;
      }
      socket.setNoDelay(true);
      if (head.length > 0) {
        socket.unshift(head);
      }
      const id = res.headers[TUNNEL_ID_HEADER];
      finish({
        outcome: "open",
        socket,
        id: typeof id === "string" ? id : undefined,
      });
    });
    req.once("response", (res) => {
      res.destroy();
      finish({ outcome: "unavailable" });
    });
    req.on("error", () => finish({ outcome: "unavailable" }));
    req.end();
  });
}

function toFailure(
  header: string | string[] | undefined,
): Exclude<TunnelOutcome, "open"> {
  return header === "refused" || header === "unreachable"
    ? header
    : "unavailable";
}
