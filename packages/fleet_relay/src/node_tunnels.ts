import { type Clock, sleep } from "@limpetshed/base";
import {
  hasHost,
  type PeerDirectory,
  type TunnelOutcome,
  TunnelServer,
} from "@limpetshed/fleet";
import type { RelayMetrics } from "@limpetshed/observe";
import type { EndpointConnector } from "@limpetshed/relay";
import { HelperSelector } from "./helper_selector.ts";
import { PeerTunnels } from "./peer_tunnels.ts";

/** Options of {@linkcode NodeTunnels}. */
export interface NodeTunnelsOptions {
  clock: Clock;
  metrics: RelayMetrics;
  /** IP address of this node. */
  ownIp: string;
  availabilityZone: string;
  directory: PeerDirectory;
  /** Opens connections over this node's own links. */
  connector: EndpointConnector;
  /** Whether an endpoint has this `ip:port`. */
  isEndpoint: (address: string) => boolean;
  /** Whether that endpoint wants no requests of this node. */
  isResting: (address: string) => boolean;
}

/** Share of the grace period in which tunnels of other nodes may end. */
const DRAIN_FRACTION = 0.95;
const DRAIN_POLL_MS = 50;

/** The tunnels that a node asks other nodes for, and those that it gives them. */
export class NodeTunnels {
  readonly asked: PeerTunnels;
  readonly given: TunnelServer;
  readonly #clock: Clock;

  constructor(
    {
      clock,
      metrics,
      ownIp,
      availabilityZone,
      directory,
      connector,
      isEndpoint,
      isResting,
    }: NodeTunnelsOptions,
  ) {
    this.#clock = clock;
    const count = (role: "asked" | "given", outcome: TunnelOutcome) =>
      metrics.count("limpetshed_tunnels_total", { role, outcome });
    this.asked = new PeerTunnels({
      clock,
      ownIp,
      selector: new HelperSelector({ clock, availabilityZone, directory }),
      onTunnel: (outcome) => count("asked", outcome),
    });
    this.given = new TunnelServer({
      isNode: (ip) =>
        directory.peers().some((peer) => hasHost(peer.callAddress, ip)),
      isEndpoint,
      isResting,
      connect: async (address, options) => {
        const { socket } = await connector.connect({ address, ...options });
        return socket;
      },
      onTunnel: (outcome) => count("given", outcome),
    });
  }

  /** Resolves when no tunnel is given, or most of the grace period is over. */
  async drained(graceMs: number): Promise<void> {
    const endMs = this.#clock.monotonicMs() + DRAIN_FRACTION * graceMs;
    while (this.given.openCount > 0 && this.#clock.monotonicMs() < endMs) {
      await sleep(this.#clock, DRAIN_POLL_MS);
    }
  }
}
