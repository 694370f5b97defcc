import type { Clock } from "@limpetshed/base";
import { ROUND_MS, roundsToTell } from "./telling.ts";
import type { StorePath } from "./watch_duty.ts";

/** Where a node can be reached. */
export interface PeerAddress {
  id: string;
  availabilityZone: string;
  /** `ip:port` for calls. */
  calls: string;
  /** `ip:port` for datagrams. */
  datagrams: string;
}

/** What is known of another node. */
export interface Peer extends PeerAddress {
  /** Monotonic time of its last datagram; negative infinity before the first. */
  heardMs: number;
  /** Revision of the shared state that it knows. */
  asOf: number;
  /** Its path to the store, as it last said. */
  storePath: StorePath;
}

/** A node that has been silent for longer is not counted on, milliseconds;
 * several datagrams of a small fleet. */
const MIN_SILENT_MS = 1_500;
/** Datagrams that may be missed in a larger fleet. */
const MISSED_DATAGRAMS = 3;

/** The other nodes of the fleet. */
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

  /** Adds a node or takes its new addresses. */
  put(address: PeerAddress): void {
    if (address.id !== this.#selfId) {
      const known = this.#peers.get(address.id);
      this.#peers.set(address.id, {
        heardMs: Number.NEGATIVE_INFINITY,
        asOf: 0,
        storePath: "unknown",
        ...known,
        ...address,
      });
      this.#ids = [this.#selfId, ...this.#peers.keys()];
    }
  }

  /** Removes a node. */
  drop(id: string): void {
    this.#peers.delete(id);
    this.#ids = [this.#selfId, ...this.#peers.keys()];
  }

  /** Notes a datagram from a node. */
  heard(
    id: string,
    { asOf, storePath }: { asOf: number; storePath: StorePath },
  ): void {
    const peer = this.#peers.get(id);
    if (peer !== undefined) {
      peer.heardMs = this.#clock.monotonicMs();
      peer.asOf = Math.max(peer.asOf, asOf);
      peer.storePath = storePath;
    }
  }

  /** Ids of all nodes, this one included; another array at each change. */
  ids(): readonly string[] {
    return this.#ids;
  }

  /** All other nodes. */
  all(): readonly Peer[] {
    return [...this.#peers.values()];
  }

  /** Silence after which a node is not counted on, milliseconds. */
  get silentMs(): number {
    const tellingMs = ROUND_MS * roundsToTell(this.#peers.size);
    return Math.max(MIN_SILENT_MS, MISSED_DATAGRAMS * tellingMs);
  }

  /** Nodes heard lately. */
  live(): readonly Peer[] {
    const oldest = this.#clock.monotonicMs() - this.silentMs;
    return this.all().filter(({ heardMs }) => heardMs >= oldest);
  }

  /** The node heard lately that knows the newest shared state. */
  newest(): Peer | undefined {
    return this.live()
      .reduce<Peer | undefined>(
        (best, peer) =>
          best === undefined || peer.asOf > best.asOf ? peer : best,
        undefined,
      );
  }
}
