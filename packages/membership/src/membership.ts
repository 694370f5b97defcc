import { create } from "@bufbuild/protobuf";
import { type Clock, repeat, type RepeatingTask } from "@limpetshed/base";
import type { Rng } from "@limpetshed/hashing";
import type { Logger, Metrics } from "@limpetshed/observe";
import {
  type PeerHandlers,
  peerpb,
  type PeerTransport,
} from "@limpetshed/peer";
import type { VmChanges } from "@limpetshed/vm_list";
import type { HeartbeatContributor } from "./heartbeat_contributor.ts";
import { NodeStateTimers } from "./node_state_timers.ts";
import { GossipQueue } from "./gossip_queue.ts";
import { toNodeRecord } from "./node_record.ts";
import { NodeTable } from "./node_table.ts";
import type { NodeView } from "./node_view.ts";
import { Prober } from "./prober.ts";
import { TargetPicker } from "./target_picker.ts";

/** Options of {@linkcode Membership}. */
export interface MembershipOptions {
  clock: Clock;
  rng: Rng;
  transport: PeerTransport;
  handlers: PeerHandlers;
  metrics: Metrics;
  logger: Logger;
  /** This node. */
  self: Pick<NodeView, "id" | "address" | "region" | "availabilityZone">;
  /** Milliseconds between heartbeats. */
  heartbeatIntervalMs?: number;
  /** Timeout of a heartbeat call, in milliseconds. */
  heartbeatTimeoutMs?: number;
  /** Milliseconds before a suspect is declared dead in a small fleet. */
  suspicionTimeoutMs?: number;
  /** Every nth heartbeat goes to another region or to a dead node. */
  remoteEvery?: number;
}

/**
 * Tracks which nodes are live, by SWIM-style gossip combined with the
 * platform's vm list. Each node sends one heartbeat per interval, to the next
 * peer of a shuffled round, so its cost is independent of the fleet size.
 */
export class Membership {
  readonly #options: Required<MembershipOptions>;
  readonly #table: NodeTable;
  readonly #gossipQueue = new GossipQueue();
  readonly #contributors: HeartbeatContributor[] = [];
  readonly #listeners: (() => void)[] = [];
  readonly #prober: Prober;
  readonly #stateTimers: NodeStateTimers;
  readonly #targetPicker: TargetPicker;
  #viewVersion = 0;
  #declaredDeadCount = 0;
  #heartbeatLoop: RepeatingTask | undefined;

  constructor(options: MembershipOptions) {
    this.#options = {
      heartbeatIntervalMs: 1_000,
      heartbeatTimeoutMs: 500,
      suspicionTimeoutMs: 3_000,
      remoteEvery: 5,
      ...options,
    };
    this.#table = new NodeTable({
      self: {
        ...options.self,
        incarnation: BigInt(options.clock.now().getTime()) + 1n,
        state: "alive",
        listed: true,
        hasAnnouncedLeave: false,
      },
    });
    this.#table.onChange = (view) => this.#onNodeChanged(view);
    this.#table.onDeclaredDead = () => {
      this.#declaredDeadCount += 1;
    };
    const table = this.#table;
    this.#prober = new Prober({
      ...this.#options,
      table,
      timeoutMs: this.#options.heartbeatTimeoutMs,
      makeHeartbeat: () => this.#makeHeartbeat(),
      mergeHeartbeat: (heartbeat) => this.#mergeHeartbeat(heartbeat),
    });
    this.#stateTimers = new NodeStateTimers({ ...this.#options, table });
    this.#targetPicker = new TargetPicker({ ...this.#options, table });
    options.handlers.on(
      "heartbeat",
      (heartbeat) => this.#onHeartbeat(heartbeat),
    );
  }

  /** This node. */
  get self(): Readonly<NodeView> {
    return this.#table.self;
  }

  /** Incremented whenever a node is added, removed or changes. */
  get viewVersion(): number {
    return this.#viewVersion;
  }

  /**
   * Number of times that this node lost contact for long enough that a peer
   * may have taken over as owner: no heartbeat was acknowledged within
   * `CONTACT_TIMEOUT_MS`, or a peer declared this node dead.
   */
  get contactLossCount(): number {
    return this.#prober.ackGapCount + this.#declaredDeadCount;
  }

  /** Milliseconds since the last acknowledged heartbeat was sent. */
  get lastAckAgeMs(): number {
    return this.#prober.lastAckAgeMs;
  }

  /** Returns all known nodes, including this one. */
  nodes(): readonly Readonly<NodeView>[] {
    return this.#table.all();
  }

  /** Returns a node by id. */
  node(id: string): Readonly<NodeView> | undefined {
    return this.#table.get(id);
  }

  /** Returns the ids of a region's nodes that may own endpoints and budgets. */
  eligibleNodeIds(region: string): string[] {
    return this.#table.all()
      .filter((view) =>
        view.region === region &&
        (view.state === "alive" || view.state === "suspect")
      )
      .map((view) => view.id);
  }

  /**
   * Fraction of the region's nodes that this node considers live, in `(0, 1]`.
   * The fractions on the two sides of a network partition add up to at most 1.
   */
  reachableFraction(): number {
    const { self } = this.#table;
    const region = this.#table.all().filter((view) =>
      view.region === self.region
    );
    const live = region.filter((view) =>
      view.state === "alive" || view.state === "suspect" ||
      view.state === "leaving"
    );
    const lost = region.filter((view) =>
      view.listed && !view.hasAnnouncedLeave &&
      (view.state === "dead" || view.state === "unheard")
    );
    return live.length / (live.length + lost.length);
  }

  /** Whether another node of the region is alive or suspect. */
  hasPeers(): boolean {
    return this.eligibleNodeIds(this.self.region).some((id) =>
      id !== this.self.id
    );
  }

  /** Registers a contributor that piggybacks data on heartbeats. */
  addHeartbeatContributor(contributor: HeartbeatContributor): void {
    this.#contributors.push(contributor);
  }

  /** Calls `listener` after every change of any node. */
  onChange(listener: () => void): void {
    this.#listeners.push(listener);
  }

  /** Applies a full or incremental vm list. */
  applyVmList(changes: VmChanges): void {
    this.#table.applyVmList(changes);
  }

  /** Pings the region's unheard nodes, then starts periodic heartbeats. */
  async start(): Promise<void> {
    await this.pingUnheardNodes();
    const { clock, rng, logger, heartbeatIntervalMs } = this.#options;
    this.#heartbeatLoop = repeat(clock, () => this.#sendNextHeartbeat(), {
      intervalMs: heartbeatIntervalMs,
      jitter: () => rng.jitter(),
      onError: (err) => logger.error({ err }, "heartbeat failed"),
    });
  }

  /** Sends a heartbeat to every node of the region not yet heard from. */
  async pingUnheardNodes(): Promise<void> {
    const unheard = this.#table.others().filter((view) =>
      view.state === "unheard" && view.region === this.self.region
    );
    await Promise.all(unheard.map((view) => this.#prober.ping(view)));
  }

  /** Sends heartbeats to up to `count` random live peers of the region now. */
  gossip(count: number): void {
    const peers = this.#table.others().filter((view) =>
      view.state === "alive" && view.region === this.self.region
    );
    for (const view of this.#options.rng.shuffle(peers).slice(0, count)) {
      void this.#prober.ping(view);
    }
  }

  /** Probes a node at once after a call to it failed. */
  reportUnreachable(id: string): void {
    const view = this.#table.get(id);
    if (view?.state === "alive") {
      void this.#prober.probe(view);
    }
  }

  /** Announces to the region's live peers that this node is leaving. */
  async leave(): Promise<void> {
    this.#table.leave();
    const peers = this.#table.others().filter((view) =>
      view.state === "alive" && view.region === this.self.region
    );
    await Promise.all(peers.map((view) => this.#prober.ping(view)));
  }

  /** Stops heartbeats and timers. */
  async close(): Promise<void> {
    this.#stateTimers.close();
    await this.#heartbeatLoop?.close();
  }

  async #sendNextHeartbeat(): Promise<void> {
    const target = this.#targetPicker.next();
    if (target !== undefined) {
      await this.#prober.probe(target);
    }
  }

  #onNodeChanged(view: NodeView): void {
    this.#viewVersion += 1;
    if (view.state !== "unheard") {
      this.#gossipQueue.add(view);
    }
    this.#stateTimers.schedule(view);
    this.#options.metrics.gauge(
      "membership.alive",
      this.#table.all().filter((other) => other.state === "alive").length,
    );
    this.#options.logger.debug(
      { peer: view.id, state: view.state, listed: view.listed },
      "node changed",
    );
    for (const listener of this.#listeners) {
      listener();
    }
  }

  #makeHeartbeat(): peerpb.Heartbeat {
    const heartbeat = create(peerpb.HeartbeatSchema, {
      sender: toNodeRecord(this.#table.self),
      changes: this.#gossipQueue.take(this.#table.all().length),
    });
    for (const contributor of this.#contributors) {
      contributor.writeTo(heartbeat);
    }
    return heartbeat;
  }

  #onHeartbeat(heartbeat: peerpb.Heartbeat): peerpb.Heartbeat {
    this.#mergeHeartbeat(heartbeat);
    return this.#makeHeartbeat();
  }

  #mergeHeartbeat(heartbeat: peerpb.Heartbeat): void {
    if (heartbeat.sender !== undefined) {
      this.#clearSuspicion(heartbeat.sender);
      this.#table.merge(heartbeat.sender);
    }
    heartbeat.changes.forEach((record) => this.#table.merge(record));
    for (const contributor of this.#contributors) {
      contributor.readFrom(heartbeat);
    }
  }

  /**
   * A message received from a node ends a local suspicion, even of the same
   * incarnation. The suspicion, or the state `dead`, is gossiped again so that
   * the node learns of it and can refute it.
   */
  #clearSuspicion(sender: peerpb.NodeRecord): void {
    const known = this.#table.get(sender.id);
    if (known === undefined || sender.state !== peerpb.NodeState.ALIVE) {
      return;
    }
    const previous = { ...known };
    if (previous.state === "suspect") {
      this.#table.setState(sender.id, "alive");
    }
    if (previous.state === "suspect" || previous.state === "dead") {
      this.#gossipQueue.add(previous);
    }
  }
}
