import { type Clock, splitHostPort } from "@limpetshed/base";
import {
  comparePositions,
  NO_POSITION,
  type StorePosition,
} from "@limpetshed/mirror";
import { ROUND_INTERVAL_MS, roundsToReachAll } from "./broadcast_schedule.ts";
import type { StoreConnectivity } from "./choose_watchers.ts";

/** Id, availability zone and network addresses of a node. */
export interface PeerAddress {
  id: string;
  availabilityZone: string;
  /** `ip:port` for HTTP calls. */
  callAddress: string;
  /** `ip:port` for datagrams. */
  datagramAddress: string;
}

/** Addresses and last reported state of another node. */
export interface Peer extends PeerAddress {
  /** Monotonic time of its last datagram; negative infinity if none. */
  lastSeenMs: number;
  /** Position of its shared state, as last reported. */
  position: StorePosition;
  /** Its connectivity to the store, as last reported. */
  storeConnectivity: StoreConnectivity;
}

/** Lower bound of the liveness timeout, milliseconds. In a small fleet every
 * broadcast round reaches every peer, so this allows for several rounds. */
const MIN_LIVENESS_TIMEOUT_MS = 1_500;
/** Liveness timeout of larger fleets, in intervals between two datagrams from
 * the same peer, so that single lost datagrams are tolerated. */
const LIVENESS_TIMEOUT_INTERVALS = 3;

/** Tracks the other nodes of the fleet, their addresses and liveness. */
export class PeerDirectory {
  readonly #clock: Clock;
  readonly #selfId: string;
  readonly #peers = new Map<string, Peer>();
  #ids: readonly string[];

  constructor({ clock, selfId }: { clock: Clock; selfId: string }) {
    this.#clock = clock;
    this.#selfId = selfId;
    this.#ids = [selfId];
  }

  /** Adds a node or updates its addresses. */
  put(address: PeerAddress): void {
    if (address.id !== this.#selfId) {
      const existing = this.#peers.get(address.id);
      this.#peers.set(address.id, {
        lastSeenMs: Number.NEGATIVE_INFINITY,
        position: NO_POSITION,
        storeConnectivity: "unknown",
        ...existing,
        ...address,
      });
      this.#ids = [this.#selfId, ...this.#peers.keys()];
    }
  }

  /** Removes a node. */
  remove(id: string): void {
    this.#peers.delete(id);
    this.#ids = [this.#selfId, ...this.#peers.keys()];
  }

  /** Records a datagram received from a node; ignores unregistered nodes. */
  recordDatagram(
    id: string,
    { position, storeConnectivity }: {
      position: StorePosition;
      storeConnectivity: StoreConnectivity;
    },
  ): void {
    const peer = this.#peers.get(id);
    if (peer !== undefined) {
      peer.lastSeenMs = this.#clock.monotonicMs();
      peer.position = position;
      peer.storeConnectivity = storeConnectivity;
    }
  }

  /** Whether `id` is that of this node. */
  isSelf(id: string): boolean {
    return id === this.#selfId;
  }

  /** Whether a node has this IP address. */
  hasHost(host: string): boolean {
    return this.peers().some(({ callAddress }) =>
      splitHostPort(callAddress).host === host
    );
  }

  /** Ids of all nodes including this one; a new array after each change, so
   * that callers can detect changes by identity. */
  nodeIds(): readonly string[] {
    return this.#ids;
  }

  /** The node with this id, unless it is this one. */
  get(id: string): Peer | undefined {
    return this.#peers.get(id);
  }

  /** All nodes except this one. */
  peers(): readonly Peer[] {
    return [...this.#peers.values()];
  }

  /** Time without a datagram after which a peer is not considered live,
   * milliseconds. */
  get livenessTimeoutMs(): number {
    const datagramIntervalMs = ROUND_INTERVAL_MS *
      roundsToReachAll(this.#peers.size);
    return Math.max(
      MIN_LIVENESS_TIMEOUT_MS,
      LIVENESS_TIMEOUT_INTERVALS * datagramIntervalMs,
    );
  }

  /** Peers whose last datagram is within the liveness timeout. */
  livePeers(): readonly Peer[] {
    const oldestLiveMs = this.#clock.monotonicMs() - this.livenessTimeoutMs;
    return this.peers().filter(({ lastSeenMs }) => lastSeenMs >= oldestLiveMs);
  }

  /** The live peer that reported the latest position of shared state. */
  mostUpToDatePeer(): Peer | undefined {
    return this.livePeers()
      .reduce<Peer | undefined>(
        (best, peer) =>
          best === undefined ||
            comparePositions(peer.position, best.position) > 0
            ? peer
            : best,
        undefined,
      );
  }
}
