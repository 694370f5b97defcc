import type { Clock } from "@limpetshed/base";
import {
  chooseWatchers,
  type Peer,
  type PeerDirectory,
  rankWriters,
  type StoreConnectivity,
  type WatcherCandidate,
} from "@limpetshed/fleet";
import type { Rng } from "@limpetshed/hashing";
import {
  comparePositions,
  type KeyMirror,
  type MirrorFollower,
  NO_POSITION,
} from "@limpetshed/mirror";
import { LagDetector } from "./lag_detector.ts";
import { WatcherRanking } from "./watcher_ranking.ts";

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
  /** For how long nodes gather changes at each hop, milliseconds. */
  gatherMs?: number;
  /** Age of the state from which on this node does not stay with its parent,
   * milliseconds. */
  maxStateAgeMs?: number;
}

/** Lag behind other nodes beyond the time that changes are gathered for,
 * milliseconds: a node that lags further reads from the most up-to-date one. */
const MAX_LAG_MS = 200;
/** From the store to a node: the watcher and up to three followers. */
const MAX_HOPS = 4;
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
  readonly #watcherRanking: WatcherRanking;
  readonly #lagDetector: LagDetector;
  #seeds: readonly string[];
  #storeFollower: MirrorFollower | undefined;
  readonly #startMs: number;

  constructor(options: StateSourceSelectorOptions) {
    this.#options = options;
    this.#watcherRanking = new WatcherRanking({
      nodeIds: () => options.directory.nodeIds(),
    });
    this.#lagDetector = new LagDetector({
      clock: options.clock,
      maxLagMs: MAX_LAG_MS + MAX_HOPS * (options.gatherMs ?? 0),
    });
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

  /** Ids of all live nodes, in order of preference for such writes. */
  get fleetWriterIds(): readonly string[] {
    return rankWriters(
      this.#watcherCandidates(),
      (ids) => this.#watcherRanking.rank(ids),
    );
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
    const { clock, mirror } = this.#options;
    if (mirror.asOf === 0 && this.storeConnectivity === "unknown") {
      return clock.monotonicMs() - this.#startMs >= INITIAL_STORE_TIMEOUT_MS;
    }
    if (!this.isWatcher || this.storeConnectivity !== "open") {
      return true;
    }
    return this.#isLagging();
  }

  /** Whether this node's state may be old, as after a start from the state of a
   * node that does not reach the store. */
  #isStale(): boolean {
    const { clock, mirror, maxStateAgeMs = Number.POSITIVE_INFINITY } =
      this.#options;
    return mirror.asOf === 0 ||
      clock.monotonicMs() - mirror.confirmedMs > maxStateAgeMs;
  }

  /** Whether this node is late to learn what its peers know. */
  #isLagging(): boolean {
    const { directory, mirror } = this.#options;
    return this.#lagDetector.isLagging({
      own: mirror.position,
      newest: directory.mostUpToDatePeer()?.position ?? NO_POSITION,
    });
  }

  /** Address of the node to read changes from: one that is ahead if this node has
   * no state, an old one or lags; else the parent in this zone, else a watcher,
   * else any known node or seed. */
  selectPeer(): string | undefined {
    const { directory, mirror, rng } = this.#options;
    const mostUpToDate = directory.mostUpToDatePeer();
    if (
      mostUpToDate !== undefined &&
      comparePositions(mostUpToDate.position, mirror.position) > 0 &&
      (this.#isStale() || this.#isLagging())
    ) {
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
    const ranked = this.#watcherRanking.rank([
      nodeId,
      ...sameZone.map(({ id }) => id),
    ]);
    const ownRank = ranked.indexOf(nodeId);
    const parentId = ranked[Math.floor((ownRank - 1) / MAX_FOLLOWERS_PER_NODE)];
    return sameZone.find(({ id }) => id === parentId);
  }

  /** Ids of the nodes that watch the store, as this node sees the fleet. */
  #watcherIds(): string[] {
    return chooseWatchers(
      this.#watcherCandidates(),
      (ids) => this.#watcherRanking.rank(ids),
    );
  }

  #watcherCandidates(): WatcherCandidate[] {
    const { nodeId, availabilityZone, directory } = this.#options;
    const self: WatcherCandidate = {
      id: nodeId,
      availabilityZone,
      storeConnectivity: this.storeConnectivity,
    };
    return [self, ...directory.livePeers()];
  }
}
