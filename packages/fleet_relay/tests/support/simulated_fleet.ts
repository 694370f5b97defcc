import { ManualClock, withProgressTimeout } from "@limpetshed/base";
import { PeerDirectory } from "@limpetshed/fleet";
import { Rng } from "@limpetshed/hashing";
import {
  type ChangeBatch,
  ChangeSource,
  comparePositions,
  type KeyClass,
  makePropagationBudget,
  NO_POSITION,
  type Snapshot,
  type StorePosition,
} from "@limpetshed/mirror";
import { makeLogger, RelayMetrics } from "@limpetshed/observe";
import { StateReplica } from "../../src/state_replica.ts";
import { SimulatedLink, transfer } from "./simulated_link.ts";
import {
  type CallOutcome,
  SimulatedStore,
  SimulatedStoreSource,
} from "./simulated_store.ts";

/** Classes of keys as on the platform. */
export const KEY_CLASSES: readonly KeyClass[] = [
  { name: "endpoints", prefixes: ["servers/", "op/evacuate/"] },
  { name: "config", prefixes: ["op/config"], isBulky: true },
  { name: "fleet", prefixes: ["limpetshed/"] },
];

/** Options of {@linkcode SimulatedFleet}. */
export interface SimulatedFleetOptions {
  nodes: number;
  zones: number;
  /** Speed of each node's links to the store and to other nodes. */
  linkMbps: number;
  /** Speed of links from one node to another, if they are slower. */
  peerMbps?: number;
  /** Time within which a change must be known, milliseconds. */
  boundMs: number;
  seed: number;
}

/** When a node learnt of a change. */
export interface LearntChange {
  node: string;
  key: string;
  revision: number;
  delayMs: number;
}

const BYTES_PER_MBIT_MS = 125;
/** As in the real fleet, milliseconds. */
const DATAGRAM_INTERVAL_MS = 200;
const DATAGRAM_FANOUT = 10;
const PEER_LONG_POLL_MS = 700;
const PEER_IDLE_TIMEOUT_MS = 1_000;
const PEER_CALL_TIMEOUT_MS = 5_000;
/** Compression of large updates between nodes. */
const MIN_COMPRESSED_BYTES = 4_096;
const COMPRESSION_RATIO = 12;

/** A node of the simulated fleet. */
class SimulatedNode {
  readonly id: string;
  readonly zone: string;
  readonly directory: PeerDirectory;
  readonly uplink: SimulatedLink;
  readonly downlink: SimulatedLink;
  readonly replica: StateReplica;
  /** Outcomes of the next calls to the store; answered once there are none. */
  outcomes: CallOutcome[] = [];
  /** Whether its process has ended. */
  isStopped = false;
  datagramOffset = 0;
  /** Addresses of its calls to other nodes, in order. */
  readonly calledPeers: string[] = [];

  constructor(
    { id, zone, fleet, options }: {
      id: string;
      zone: string;
      fleet: SimulatedFleet;
      options: SimulatedFleetOptions;
    },
  ) {
    const { clock, store } = fleet;
    const { linkMbps, peerMbps = linkMbps, boundMs, seed } = options;
    this.id = id;
    this.zone = zone;
    this.directory = new PeerDirectory({ clock, selfId: id });
    this.uplink = new SimulatedLink({
      clock,
      bytesPerMs: peerMbps * BYTES_PER_MBIT_MS,
    });
    this.downlink = new SimulatedLink({
      clock,
      bytesPerMs: linkMbps * BYTES_PER_MBIT_MS,
    });
    this.replica = new StateReplica({
      clock,
      logger: makeLogger({ level: "silent" }),
      metrics: new RelayMetrics(),
      rng: new Rng(seed + Number(id.slice(1))),
      settings: {
        nodeId: id,
        availabilityZone: zone,
        listen: { front: "", ready: "", calls: id, datagrams: "" },
        seeds: [],
        propagationMs: boundMs,
      },
      directory: this.directory,
      storeSource: new SimulatedStoreSource({
        clock,
        store,
        link: this.downlink,
        watchWaitMs: makePropagationBudget(boundMs).watchWaitMs,
        nextOutcome: () => this.outcomes.shift() ?? "answered",
      }),
      makePeerSource: (selectPeer) =>
        new SimulatedPeerSource({ node: this, fleet, selectPeer }),
      keyClasses: KEY_CLASSES,
    });
    this.replica.mirror.onChange(({ key, revision }) =>
      fleet.recordLearnt(this, { key, revision })
    );
  }
}

/** Reads changes from other nodes of the simulated fleet. */
class SimulatedPeerSource extends ChangeSource {
  readonly name = "peers";
  address: string | undefined;
  readonly #node: SimulatedNode;
  readonly #fleet: SimulatedFleet;
  readonly #selectPeer: () => string | undefined;

  constructor({ node, fleet, selectPeer }: {
    node: SimulatedNode;
    fleet: SimulatedFleet;
    selectPeer: () => string | undefined;
  }) {
    super();
    this.#node = node;
    this.#fleet = fleet;
    this.#selectPeer = selectPeer;
  }

  close(): void {
    // There is no connection.
  }

  readAll(options: { signal: AbortSignal }): Promise<ChangeBatch | Snapshot> {
    return this.waitForChanges(NO_POSITION, options);
  }

  override resume(
    after: StorePosition,
    options: { signal: AbortSignal },
  ): Promise<ChangeBatch | Snapshot> {
    return this.waitForChanges(after, options);
  }

  waitForChanges(
    after: StorePosition,
    { signal }: { signal: AbortSignal },
  ): Promise<ChangeBatch | Snapshot> {
    this.address = this.#selectPeer();
    this.#node.calledPeers.push(this.address ?? "");
    return withProgressTimeout(
      this.#fleet.clock,
      (onProgress) => this.#call(after, { signal, onProgress }),
      {
        idleMs: PEER_IDLE_TIMEOUT_MS,
        totalMs: PEER_CALL_TIMEOUT_MS,
        onTimeout: () => new Error("timed out"),
      },
    );
  }

  async #call(
    after: StorePosition,
    { signal, onProgress }: { signal: AbortSignal; onProgress: () => void },
  ): Promise<ChangeBatch | Snapshot> {
    const { clock, store } = this.#fleet;
    const peer = this.#fleet.nodes.get(this.address ?? "");
    if (peer === undefined || peer.isStopped) {
      throw new Error("no such peer");
    }
    const { mirror } = peer.replica;
    if (comparePositions(mirror.position, after) <= 0) {
      const timeout = new AbortController();
      const timer = clock.setTimer(PEER_LONG_POLL_MS, () => timeout.abort());
      await mirror.waitForUpdate(timeout.signal);
      timer.cancel();
    }
    const ageAtHeadMs = clock.monotonicMs() - mirror.confirmedMs;
    const headMs = clock.monotonicMs();
    const update = mirror.changesAfter(after);
    const changes = update.kind === "changes" ? update.changes : update.entries;
    const bytes = store.sizeOf(changes);
    await transfer(clock, [peer.uplink, this.#node.downlink], {
      bytes: bytes < MIN_COMPRESSED_BYTES ? bytes : bytes / COMPRESSION_RATIO,
      signal,
      onProgress,
    });
    if (peer.isStopped) {
      throw new Error("the peer ended");
    }
    const ageMs = ageAtHeadMs + clock.monotonicMs() - headMs;
    return { ...update, ageMs };
  }
}

/** Nodes in one process that follow a simulated store over simulated links, on a
 * clock that the test drives. */
export class SimulatedFleet {
  readonly clock = new ManualClock();
  readonly store: SimulatedStore;
  readonly nodes = new Map<string, SimulatedNode>();
  readonly learnt: LearntChange[] = [];
  readonly #options: SimulatedFleetOptions;
  #isClosed = false;

  constructor(options: SimulatedFleetOptions) {
    this.#options = options;
    this.store = new SimulatedStore({ clock: this.clock });
    for (let index = 0; index < options.nodes; index += 1) {
      this.startNode(index);
    }
  }

  /** Starts a node; all others know it at once. */
  startNode(index: number): SimulatedNode {
    const { zones } = this.#options;
    const node = new SimulatedNode({
      id: `n${index}`,
      zone: `z${index % zones}`,
      fleet: this,
      options: this.#options,
    });
    for (const other of this.nodes.values()) {
      introduce(other, node);
      introduce(node, other);
    }
    this.nodes.set(node.id, node);
    this.#sendDatagrams(node);
    return node;
  }

  /** Ends a node's process without notice. */
  async stopNode(node: SimulatedNode): Promise<void> {
    node.isStopped = true;
    this.nodes.delete(node.id);
    // Not awaited: calls that the store never answers end by their timeouts.
    void node.replica.close();
    await this.clock.advance(0);
  }

  /** The nodes that watch the store at the moment. */
  watchers(): SimulatedNode[] {
    return [...this.nodes.values()].filter(({ replica }) =>
      replica.sourceSelector.isWatcher
    );
  }

  /** Records when a node learnt of a change of the store. */
  recordLearnt(
    node: { id: string },
    { key, revision }: { key: string; revision: number },
  ): void {
    const change = this.store.history.find((entry) =>
      entry.key === key && entry.revision === revision
    );
    if (change !== undefined) {
      const delayMs = this.clock.monotonicMs() - change.ackMs;
      this.learnt.push({ node: node.id, key, revision, delayMs });
    }
  }

  /** Ends all nodes. */
  async close(): Promise<void> {
    this.#isClosed = true;
    for (const node of [...this.nodes.values()]) {
      await this.stopNode(node);
    }
  }

  #sendDatagrams(node: SimulatedNode): void {
    if (node.isStopped || this.#isClosed) {
      return;
    }
    const others = [...this.nodes.values()].filter((other) => other !== node);
    const start = node.datagramOffset % Math.max(1, others.length);
    node.datagramOffset += DATAGRAM_FANOUT;
    for (
      const { directory } of [...others, ...others]
        .slice(start, start + Math.min(DATAGRAM_FANOUT, others.length))
    ) {
      directory.recordDatagram(node.id, {
        position: node.replica.mirror.position,
        storeConnectivity: node.replica.sourceSelector.storeConnectivity,
      });
    }
    this.clock.setTimer(
      DATAGRAM_INTERVAL_MS,
      () => this.#sendDatagrams(node),
    );
  }
}

function introduce(known: SimulatedNode, { id, zone }: SimulatedNode): void {
  known.directory.put({
    id,
    availabilityZone: zone,
    callAddress: id,
    datagramAddress: id,
  });
}
