import type { Clock } from "@limpetshed/base";
import {
  chooseWatchers,
  type Peer,
  type PeerDirectory,
  type StoreConnectivity,
  type WatcherCandidate,
} from "@limpetshed/fleet";
import { rendezvousRank, type Rng } from "@limpetshed/hashing";
import type { KeyMirror, MirrorFollower } from "@limpetshed/mirror";

/** Options of {@linkcode StateSources}. */
export interface StateSourcesOptions {
  clock: Clock;
  rng: Rng;
  nodeId: string;
  availabilityZone: string;
  /** Where this node answers calls of others, `ip:port`. */
  ownAddress: string;
  directory: PeerDirectory;
  mirror: KeyMirror;
  /** Addresses of a few nodes; may be stale. */
  seeds: readonly string[];
}

/** A node that is behind for longer asks its peers; news from the store
 * arrive at all nodes within some milliseconds. */
const BEHIND_MS = 200;
/** A node that starts asks other nodes if the store has not answered by then,
 * milliseconds; many times what it takes when it is well. So a fleet that
 * starts at once does not press the few nodes that settings name. */
const STORE_FIRST_MS = 300;
/** How long a failed path to the store counts as lost before it is tried
 * again where other nodes have a path. */
const LOST_PATH_MS = 5_000;

/** Nodes that follow one node, so that what a change costs the busiest does
 * not grow with the fleet. */
const FOLLOWERS = 8;

/** Decides whether a node watches the store or follows another node. */
export class StateSources {
  readonly #options: StateSourcesOptions;
  #seeds: readonly string[];
  #store: MirrorFollower | undefined;
  readonly #startedMs: number;
  #behindSinceMs: number | undefined;

  constructor(options: StateSourcesOptions) {
    this.#options = options;
    this.#seeds = options.seeds;
    this.#startedMs = options.clock.monotonicMs();
  }

  /** Sets the follower of the store, which is made after this. */
  attach(store: MirrorFollower): void {
    this.#store = store;
  }

  /** Takes other addresses to start from. */
  setSeeds(seeds: readonly string[]): void {
    this.#seeds = seeds;
  }

  /** This node's path to the store. */
  get storePath(): StoreConnectivity {
    if (this.#store === undefined || this.#store.isReachable) {
      return this.#store === undefined ? "unknown" : "open";
    }
    const sinceMs = this.#options.clock.monotonicMs() -
      this.#store.lastFailureMs;
    return sinceMs <= LOST_PATH_MS ? "lost" : "unknown";
  }

  /** Whether this node watches the store. */
  get hasWatchDuty(): boolean {
    const { mirror, nodeId } = this.#options;
    return mirror.asOf === 0 || this.#watchers().includes(nodeId);
  }

  /** Whether this node learns of changes from other nodes. */
  get needsPeers(): boolean {
    const { clock, directory, mirror } = this.#options;
    if (mirror.asOf === 0 && this.storePath === "unknown") {
      return clock.monotonicMs() - this.#startedMs >= STORE_FIRST_MS;
    }
    if (!this.hasWatchDuty || this.storePath !== "open") {
      return true;
    }
    const newest = directory.mostUpToDatePeer()?.asOf ?? 0;
    if (newest <= mirror.asOf) {
      this.#behindSinceMs = undefined;
      return false;
    }
    const now = clock.monotonicMs();
    this.#behindSinceMs ??= now;
    return now - this.#behindSinceMs >= BEHIND_MS;
  }

  /** Address of the node to ask for changes: one that knows more, else the one
   * before this in its zone, else one that watches the store. */
  peerToAsk(): string | undefined {
    const { directory, mirror, rng } = this.#options;
    const newest = directory.mostUpToDatePeer();
    if (newest !== undefined && newest.asOf > mirror.asOf) {
      return newest.calls;
    }
    const live = directory.live();
    const before = this.#nodeBefore(live);
    if (before !== undefined) {
      return before.calls;
    }
    const watchers = this.#watchers();
    const watching = live.filter(({ id }) => watchers.includes(id));
    const known = [watching, live, directory.all()]
      .find((peers) => peers.length > 0);
    return known === undefined
      ? rng.pick(
        this.#seeds.filter((seed) => seed !== this.#options.ownAddress),
      )
      : rng.pick(known)?.calls;
  }

  /** The node of this zone that this one follows: the nodes form a tree below
   * the one that watches the store, in the order in which they take that duty.
   * Views differ for moments; whoever is behind then asks the newest node. */
  #nodeBefore(live: readonly Peer[]): Peer | undefined {
    const { nodeId, availabilityZone } = this.#options;
    const near = live.filter((peer) =>
      peer.availabilityZone === availabilityZone &&
      peer.storeConnectivity !== "lost"
    );
    const ranked = rankForWatch([nodeId, ...near.map(({ id }) => id)]);
    const at = ranked.indexOf(nodeId);
    const before = ranked[Math.floor((at - 1) / FOLLOWERS)];
    return near.find(({ id }) => id === before);
  }

  /** Ids of the nodes that watch the store, as this node sees the fleet. */
  #watchers(): string[] {
    const { nodeId, availabilityZone, directory } = this.#options;
    const self: WatcherCandidate = {
      id: nodeId,
      availabilityZone,
      storeConnectivity: this.storePath,
    };
    return chooseWatchers([self, ...directory.live()], rankForWatch);
  }
}

/** The order in which nodes take the duty to watch the store. */
function rankForWatch(ids: readonly string[]): string[] {
  return rendezvousRank("watch", ids);
}
