import type { Clock } from "@limpetshed/base";
import type { Peer, PeerDirectory } from "@limpetshed/fleet";

/** Options of {@linkcode HelperSelector}. */
export interface HelperSelectorOptions {
  clock: Clock;
  availabilityZone: string;
  directory: Pick<PeerDirectory, "livePeers">;
}

/** Time for which a node that could not help is asked last. */
const FAILURE_MEMORY_MS = 2_000;

/** Chooses the nodes that are asked to connect to an endpoint. */
export class HelperSelector {
  readonly #options: HelperSelectorOptions;
  readonly #failedMs = new Map<string, number>();
  #rotation = 0;

  constructor(options: HelperSelectorOptions) {
    this.#options = options;
  }

  /** Up to `max` live nodes in the order in which to ask them: those that have not
   * failed lately first, of these the nodes of this zone, and equals in turn. */
  candidates(max: number): Peer[] {
    const { availabilityZone, directory } = this.#options;
    const peers = directory.livePeers();
    this.#rotation += 1;
    const start = peers.length === 0 ? 0 : this.#rotation % peers.length;
    const cost = (peer: Peer) =>
      (this.#hasFailed(peer.id) ? 2 : 0) +
      (peer.availabilityZone === availabilityZone ? 0 : 1);
    return [...peers.slice(start), ...peers.slice(0, start)]
      .sort((a, b) => cost(a) - cost(b))
      .slice(0, max);
  }

  /** Records that a node has connected to an endpoint. */
  recordSuccess(id: string): void {
    this.#failedMs.delete(id);
  }

  /** Records that a node could not connect to an endpoint. */
  recordFailure(id: string): void {
    this.#failedMs.set(id, this.#options.clock.monotonicMs());
  }

  #hasFailed(id: string): boolean {
    const failedMs = this.#failedMs.get(id);
    if (failedMs === undefined) {
      return false;
    }
    const isRecent = this.#options.clock.monotonicMs() - failedMs <=
      FAILURE_MEMORY_MS;
    if (!isRecent) {
      this.#failedMs.delete(id);
    }
    return isRecent;
  }
}
