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

/** Options of {@linkcode StateSourceSelector}. */
export interface StateSourceSelectorOptions {
  clock: Clock;
  rng: Rng;
  nodeId: string;
  availabilityZone: string;
  /** Address at which this node serves other nodes, `ip:port`. */
  ownAddress: string;
  directory: PeerDirectory;
  mirror: KeyMirror;
  /** Addresses of a few nodes; may be stale. */
  seeds: readonly string[];
}

/** A watcher that has been behind its peers for this long, in milliseconds, also
 * reads from them; changes normally reach all nodes within some milliseconds. */
const MAX_LAG_MS = 200;
/** Time for which a starting node waits for the store before it asks other
 * nodes, milliseconds; many times the usual response time. Keeps a fleet that
 * starts at once from overloading the few seed nodes. */
const INITIAL_STORE_TIMEOUT_MS = 300;
/** Time for which the store counts as lost after a failed call, milliseconds.
 * Afterwards this node may become a watcher again and retry, even if other
 * nodes are connected to the store. */
const STORE_COOLDOWN_MS = 5_000;

/** Bounds the cost of a change for the busiest node, so that it does not grow
 * with the fleet. */
const MAX_FOLLOWERS_PER_NODE = 8;

/** Decides whether a node watches the store, follows another node, or both. */
export class StateSourceSelector {
  readonly #options: StateSourceSelectorOptions;
  #seeds: readonly string[];
  #storeFollower: MirrorFollower | undefined;
  readonly #startMs: number;
  #behindSinceMs: number | undefined;

  constructor(options: StateSourceSelectorOptions) {
    this.#options = options;
    this.#seeds = options.seeds;
    this.#startMs = options.clock.monotonicMs();
  }

  /** Sets the follower of the store. It is created after this selector, which
   * decides whether the follower polls. */
  setStoreFollower(storeFollower: MirrorFollower): void {
    this.#storeFollower = storeFollower;
  }

  /** Replaces the seed addresses. */
  setSeeds(seeds: readonly string[]): void {
    this.#seeds = seeds;
  }

  /** This node's connectivity to the store. Unknown while the store is not
   * polled, unless the last call failed a moment ago. */
  get storeConnectivity(): StoreConnectivity {
    const follower = this.#storeFollower;
    if (follower === undefined) {
      return "unknown";
    }
    if (follower.isReachable) {
      return "open";
    }
    const { lastSuccessMs, lastFailureMs } = follower;
    const msSinceFailure = this.#options.clock.monotonicMs() - lastFailureMs;
    return lastFailureMs > lastSuccessMs && msSinceFailure <= STORE_COOLDOWN_MS
      ? "lost"
      : "unknown";
  }

  /** Whether this node watches the store. A node without any state always does,
   * since it does not know its peers yet. */
  get isWatcher(): boolean {
    const { mirror, nodeId } = this.#options;
    return mirror.asOf === 0 || this.#watcherIds().includes(nodeId);
  }

  /** Id of the node that writes to the store what concerns the whole fleet; nodes
   * whose views of the fleet differ may choose several. */
  get fleetWriterId(): string {
    return this.#watcherIds()[0]!;
  }

  /** Whether a live peer tells that it reaches the store. */
  get isStoreReachedByPeers(): boolean {
    return this.#options.directory.livePeers()
      .some(({ storeConnectivity }) => storeConnectivity === "open");
  }

  /** Whether this node reads changes from other nodes. A watcher does so only
   * while its connection to the store is not open, or when it lags behind its
   * peers. */
  get shouldFollowPeers(): boolean {
    const { clock, directory, mirror } = this.#options;
    if (mirror.asOf === 0 && this.storeConnectivity === "unknown") {
      return clock.monotonicMs() - this.#startMs >= INITIAL_STORE_TIMEOUT_MS;
    }
    if (!this.isWatcher || this.storeConnectivity !== "open") {
      return true;
    }
    const newestRevision = directory.mostUpToDatePeer()?.asOf ?? 0;
    if (newestRevision <= mirror.asOf) {
      this.#behindSinceMs = undefined;
      return false;
    }
    const now = clock.monotonicMs();
    this.#behindSinceMs ??= now;
    return now - this.#behindSinceMs >= MAX_LAG_MS;
  }

  /** Address of the node to read changes from: one that is ahead, else the
   * parent in this zone, else a watcher, else any known node or seed. */
  selectPeer(): string | undefined {
    const { directory, mirror, rng } = this.#options;
    const mostUpToDate = directory.mostUpToDatePeer();
    if (mostUpToDate !== undefined && mostUpToDate.asOf > mirror.asOf) {
      return mostUpToDate.callAddress;
    }
    const live = directory.livePeers();
    const parent = this.#parentPeer(live);
    if (parent !== undefined) {
      return parent.callAddress;
    }
    const watcherIds = this.#watcherIds();
    const liveWatchers = live.filter(({ id }) => watcherIds.includes(id));
    const candidatePeers = [liveWatchers, live, directory.peers()]
      .find((peers) => peers.length > 0);
    return candidatePeers === undefined
      ? rng.pick(
        this.#seeds.filter((seed) => seed !== this.#options.ownAddress),
      )
      : rng.pick(candidatePeers)?.callAddress;
  }

  /** The node of this zone that this one follows. The nodes of a zone form a tree
   * in the order of their rank as watchers, with the watcher of the store as its
   * root. Their views of the fleet may differ for a time; `selectPeer` makes a
   * node that is behind ask the one with the highest revision instead. */
  #parentPeer(live: readonly Peer[]): Peer | undefined {
    const { nodeId, availabilityZone } = this.#options;
    const sameZone = live.filter((peer) =>
      peer.availabilityZone === availabilityZone &&
      peer.storeConnectivity !== "lost"
    );
    const ranked = rankWatchers([nodeId, ...sameZone.map(({ id }) => id)]);
    const ownRank = ranked.indexOf(nodeId);
    const parentId = ranked[Math.floor((ownRank - 1) / MAX_FOLLOWERS_PER_NODE)];
    return sameZone.find(({ id }) => id === parentId);
  }

  /** Ids of the nodes that watch the store, as this node sees the fleet. */
  #watcherIds(): string[] {
    const { nodeId, availabilityZone, directory } = this.#options;
    const self: WatcherCandidate = {
      id: nodeId,
      availabilityZone,
      storeConnectivity: this.storeConnectivity,
    };
    return chooseWatchers([self, ...directory.livePeers()], rankWatchers);
  }
}

/** Order in which nodes are preferred as watchers of the store. */
function rankWatchers(ids: readonly string[]): string[] {
  return rendezvousRank("watch", ids);
}
