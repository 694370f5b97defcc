import type { Buffer } from "node:buffer";
import { type Clock, repeat, type RepeatingTask } from "@limpetshed/base";
import type { EndpointSpeeds, SpeedReport } from "@limpetshed/dispatch";
import {
  decodeSpeedMessage,
  encodeSpeedMessage,
  FANOUT,
  type PeerDirectory,
  roundsToReachAll,
} from "@limpetshed/fleet";
import type { Logger } from "@limpetshed/observe";

/** Options of {@linkcode SpeedSharing}. */
export interface SpeedSharingOptions {
  clock: Clock;
  logger: Logger;
  /** Availability zone of this node. */
  availabilityZone: string;
  directory: Pick<PeerDirectory, "peers">;
  speeds: EndpointSpeeds;
  /** Whether the endpoint, given by its key, is known. */
  isEndpoint: (endpoint: string) => boolean;
  /** Sends datagrams to `ip:port`. */
  send: (address: string, datagrams: readonly Buffer[]) => void;
}

/** About the interval at which further samples of an endpoint add anything. */
const ROUND_INTERVAL_MS = 500;
/** Rounds in which a report is sent; reports of some of the nodes will do in a
 * larger zone. */
const MAX_ROUNDS = 4;

/**
 * Passes on to the other nodes of the zone what endpoints say of their speed: a
 * node among many hears of an endpoint too rarely to tell one that turned slow
 * from one that is disturbed. Bytes between zones cost more than it is worth
 * there. Nothing is sent while endpoints report no speed.
 */
export class SpeedSharing {
  readonly #options: SpeedSharingOptions;
  readonly #loop: RepeatingTask;
  #recent: (() => SpeedReport[])[] = [];
  #targetOffset = 0;

  constructor(options: SpeedSharingOptions) {
    this.#options = options;
    this.#loop = repeat(options.clock, () => this.#send(), {
      intervalMs: ROUND_INTERVAL_MS,
      onError: (err) => options.logger.error({ event: "datagram_error", err }),
    });
  }

  /** Merges a datagram of another node; returns whether it was of speeds. */
  receive(data: Buffer): boolean {
    const entries = decodeSpeedMessage(data);
    if (entries === undefined) {
      return false;
    }
    const { speeds, isEndpoint } = this.#options;
    speeds.applyPeerReports(
      entries.filter(({ endpoint }) => isEndpoint(endpoint)),
    );
    return true;
  }

  /** Stops sending. */
  close(): Promise<void> {
    return this.#loop.close();
  }

  #send(): void {
    const { speeds, directory, availabilityZone, send } = this.#options;
    if (speeds.isEmpty) {
      return;
    }
    const peers = directory.peers().filter((peer) =>
      peer.availabilityZone === availabilityZone
    );
    const rounds = Math.min(MAX_ROUNDS, roundsToReachAll(peers.length));
    this.#recent = [speeds.takeReports(), ...this.#recent].slice(0, rounds);
    const datagram = encodeSpeedMessage(
      this.#recent.flatMap((makeReports) => makeReports()),
    );
    if (datagram === undefined) {
      return;
    }
    for (let count = 0; count < Math.min(FANOUT, peers.length); count += 1) {
      const peer = peers[this.#targetOffset % peers.length]!;
      this.#targetOffset += 1;
      send(peer.datagramAddress, [datagram]);
    }
  }
}
