import type { IncomingMessage } from "node:http";
import type * as net from "node:net";
import { randomUUID } from "node:crypto";
import { resetConnection, splitHostPort } from "@limpetshed/base";
import { LRUCache } from "lru-cache";
import {
  TUNNEL_ID_HEADER,
  TUNNEL_OUTCOME_HEADER,
  type TunnelOutcome,
} from "./tunnel_client.ts";

/** Options of {@linkcode TunnelServer}. */
export interface TunnelServerOptions {
  /** Whether a node of the fleet has this IP address. */
  isNode: (ip: string) => boolean;
  /** Whether an endpoint has this `ip:port`. */
  isEndpoint: (address: string) => boolean;
  /** Whether that endpoint wants no requests of this node. */
  isResting: (address: string) => boolean;
  /** Connects to an endpoint over this node's own links; rejects with the error
   * of the system. */
  connect: (
    address: string,
    options: { timeoutMs: number; signal: AbortSignal },
  ) => Promise<net.Socket>;
  onTunnel: (outcome: TunnelOutcome) => void;
}

/** Bounds memory and descriptors; many times the tunnels of a node that helps
 * another one of its size. */
const MAX_TUNNELS = 512;
const CONNECT_TIMEOUT_MS = 300;
/** Tunnels whose end is remembered. */
const MAX_ENDED_TUNNELS = 1_024;
const REFUSED_CODE = "ECONNREFUSED";

/** Statuses of tunnels that are not established. */
const STATUS_LINES: Readonly<Record<Exclude<TunnelOutcome, "open">, string>> = {
  refused: "502 Bad Gateway",
  unreachable: "504 Gateway Timeout",
  unavailable: "503 Service Unavailable",
};

/** Connects other nodes to endpoints that they cannot reach, one hop at most. */
export class TunnelServer {
  readonly #options: TunnelServerOptions;
  readonly #closing = new AbortController();
  readonly #tunnels = new Set<net.Socket>();
  /** Tunnels that their endpoints ended in order. */
  readonly #endedIds = new LRUCache<string, true>({ max: MAX_ENDED_TUNNELS });
  #isStopping = false;

  constructor(options: TunnelServerOptions) {
    this.#options = options;
  }

  /** Number of open tunnels. */
  get openCount(): number {
    return this.#tunnels.size;
  }

  /** Whether the endpoint ended the tunnel in order. */
  hasEnded(id: string): boolean {
    return this.#endedIds.has(id);
  }

  /** Takes no more tunnels; those that are open stay. */
  stop(): void {
    this.#isStopping = true;
  }

  /** Closes all tunnels. */
  close(): void {
    this.stop();
    this.#closing.abort();
    this.#tunnels.forEach((socket) => socket.destroy());
  }

  /** Handles a request with the method `CONNECT`. */
  async handle(
    req: IncomingMessage,
    caller: net.Socket,
    head: Uint8Array,
  ): Promise<void> {
    caller.on("error", () => undefined);
    const target = req.url ?? "";
    const { isNode, isEndpoint, isResting, onTunnel } = this.#options;
    const mayConnect = !this.#isStopping && this.#tunnels.size < MAX_TUNNELS &&
      isNode(caller.remoteAddress ?? "") && isEndpoint(target) &&
      !isResting(target);
    if (!mayConnect) {
      this.#refuse(caller, "unavailable");
      return;
    }
    this.#tunnels.add(caller);
    caller.once("close", () => this.#tunnels.delete(caller));
    const connecting = new AbortController();
    const abort = () => connecting.abort();
    caller.once("close", abort);
    try {
      const endpoint = await this.#options.connect(target, {
        timeoutMs: CONNECT_TIMEOUT_MS,
        signal: AbortSignal.any([connecting.signal, this.#closing.signal]),
      });
      caller.off("close", abort);
      if (caller.destroyed) {
        endpoint.destroy();
        return;
      }
      onTunnel("open");
      const id = randomUUID();
      caller.write(`HTTP/1.1 200 OK\r\n${TUNNEL_ID_HEADER}: ${id}\r\n\r\n`);
      endpoint.write(head);
      join(caller, endpoint);
      join(endpoint, caller, { onEnd: () => this.#endedIds.set(id, true) });
    } catch (err) {
      const { code } = err as NodeJS.ErrnoException;
      this.#refuse(caller, code === REFUSED_CODE ? "refused" : "unreachable");
    }
  }

  #refuse(
    caller: net.Socket,
    outcome: Exclude<TunnelOutcome, "open">,
  ): void {
    this.#options.onTunnel(outcome);
    caller.end(
      `HTTP/1.1 ${
        STATUS_LINES[outcome]
      }\r\n${TUNNEL_OUTCOME_HEADER}: ${outcome}\r\n` +
        "content-length: 0\r\nconnection: close\r\n\r\n",
    );
  }
}

/** Passes bytes on with back-pressure, and the way in which `from` ends: an
 * orderly end as such, a reset as a reset. */
function join(
  from: net.Socket,
  to: net.Socket,
  { onEnd = () => undefined }: { onEnd?: () => void } = {},
): void {
  from.setNoDelay(true);
  from.pipe(to, { end: false });
  from.on("error", () => resetConnection(to));
  from.on("end", () => {
    // Node.js reports a reset directly after data as an orderly end. Only after a
    // reset has the socket lost its remote address.
    if (from.remoteAddress === undefined) {
      resetConnection(to);
    } else {
      onEnd();
      to.end();
    }
  });
  from.on("close", () => {
    if (!to.writableEnded) {
      resetConnection(to);
    }
  });
}

/** Whether `ip:port` has this IP address; nodes may see IPv4 addresses in the form
 * of IPv6. */
export function hasHost(address: string, ip: string): boolean {
  return splitHostPort(address).host === ip.replace(/^::ffff:/, "");
}
