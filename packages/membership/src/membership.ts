import { create } from "@bufbuild/protobuf";
import { type Clock, repeat, type Repeating } from "@limpetshed/base";
import type { Rng } from "@limpetshed/hashing";
import type { Logger, Metrics } from "@limpetshed/observe";
import {
  type PeerHandlers,
  peerpb,
  type PeerTransport,
} from "@limpetshed/peer";
import type { VmChanges } from "@limpetshed/vm_list";
import type { HeartbeatContributor } from "./heartbeat_contributor.ts";
import { DeathTimers } from "./death_timers.ts";
import { NewsQueue } from "./news_queue.ts";
import { toRecord } from "./node_record.ts";
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
  /** Milliseconds between two heartbeats. */
  heartbeatIntervalMs?: number;
  /** Longest wait for the answer to a heartbeat, in milliseconds. */
  heartbeatTimeoutMs?: number;
  /** Milliseconds from suspicion to death in a small fleet. */
  suspectTimeoutMs?: number;
  /** One heartbeat in this many goes to another region. */
  remoteEvery?: number;
}

/**
 * Which nodes are live: own heartbeats joined with the platform's vm list.
 * One heartbeat per interval goes to the next peer of a shuffled round, so
 * the cost per node does not grow with the fleet.
 */
export class Membership {
  readonly #options: Required<MembershipOptions>;
  readonly #table: NodeTable;
  readonly #news = new NewsQueue();
  readonly #contributors: HeartbeatContributor[] = [];
  readonly #listeners: (() => void)[] = [];
  readonly #prober: Prober;
  readonly #deaths: DeathTimers;
  readonly #targets: TargetPicker;
  #viewNumber = 0;
  #timesDeclaredDead = 0;
  #beating: Repeating | undefined;

  constructor(options: MembershipOptions) {
    this.#options = {
      heartbeatIntervalMs: 1_000,
      heartbeatTimeoutMs: 500,
      suspectTimeoutMs: 3_000,
      remoteEvery: 5,
      ...options,
    };
    this.#table = new NodeTable({
      self: {
        ...options.self,
        incarnation: BigInt(options.clock.now().getTime()) + 1n,
        state: "alive",
        listed: true,
        left: false,
      },
    });
    this.#table.onChange = (view) => this.#changed(view);
    this.#table.onDeclaredDead = () => {
      this.#timesDeclaredDead += 1;
    };
    const table = this.#table;
    this.#prober = new Prober({
      ...this.#options,
      table,
      timeoutMs: this.#options.heartbeatTimeoutMs,
      makeHeartbeat: () => this.#makeHeartbeat(),
      absorb: (heartbeat) => this.#absorb(heartbeat),
    });
    this.#deaths = new DeathTimers({ ...this.#options, table });
    this.#targets = new TargetPicker({ ...this.#options, table });
    options.handlers.on("heartbeat", (beat) => this.#onHeartbeat(beat));
  }

  /** This node. */
  get self(): Readonly<NodeView> {
    return this.#table.self;
  }

  /** Grows with every change of any node. */
  get viewNumber(): number {
    return this.#viewNumber;
  }

  /**
   * How often this node was out of contact long enough that others may have
   * taken its place: no heartbeat answered, or held dead by a peer.
   */
  get timesOutOfContact(): number {
    return this.#prober.contactGaps + this.#timesDeclaredDead;
  }

  /** Milliseconds since this node sent the last heartbeat that was answered. */
  get lastAckAgeMs(): number {
    return this.#prober.lastAckAgeMs;
  }

  /** All known nodes, this one included. */
  nodes(): readonly Readonly<NodeView>[] {
    return this.#table.all();
  }

  /** Finds a node. */
  node(id: string): Readonly<NodeView> | undefined {
    return this.#table.get(id);
  }

  /** Nodes of a region that may own endpoints and budgets. */
  eligible(region: string): string[] {
    return this.#table.all()
      .filter((view) =>
        view.region === region &&
        (view.state === "alive" || view.state === "suspect")
      )
      .map((view) => view.id);
  }

  /**
   * Part of the region's listed nodes that this node holds to be live, in
   * `(0, 1]`. Both sides of a split see parts that sum to at most 1.
   */
  reachablePart(): number {
    const { self } = this.#table;
    const region = this.#table.all().filter((view) =>
      view.region === self.region
    );
    const live = region.filter((view) =>
      view.state === "alive" || view.state === "suspect" ||
      view.state === "leaving"
    );
    const lost = region.filter((view) =>
      view.listed && !view.left &&
      (view.state === "dead" || view.state === "unheard")
    );
    return live.length / (live.length + lost.length);
  }

  /** Whether any other node of the region is believed live. */
  hasPeers(): boolean {
    return this.eligible(this.self.region).some((id) => id !== this.self.id);
  }

  /** Lets a package add to heartbeats. */
  addContributor(contributor: HeartbeatContributor): void {
    this.#contributors.push(contributor);
  }

  /** Calls `listener` after every change of the view. */
  onChange(listener: () => void): void {
    this.#listeners.push(listener);
  }

  /** Takes over a reading of the vm list. */
  applyVmList(changes: VmChanges): void {
    this.#table.applyVmList(changes);
  }

  /** Sends one heartbeat to every listed node, then goes on in rounds. */
  async start(): Promise<void> {
    await this.joinRound();
    const { clock, rng, logger, heartbeatIntervalMs } = this.#options;
    this.#beating = repeat(clock, () => this.#beat(), {
      everyMs: heartbeatIntervalMs,
      jitter: () => rng.jitter(),
      onError: (err) => logger.error({ err }, "heartbeat failed"),
    });
  }

  /** Sends one heartbeat to every node of the region not heard of yet. */
  async joinRound(): Promise<void> {
    const unheard = this.#table.others().filter((view) =>
      view.state === "unheard" && view.region === this.self.region
    );
    await Promise.all(unheard.map((view) => this.#prober.ping(view)));
  }

  /** Sends heartbeats to `count` random peers at once, to spread news. */
  spreadNews(count: number): void {
    const peers = this.#table.others().filter((view) =>
      view.state === "alive" && view.region === this.self.region
    );
    for (const view of this.#options.rng.shuffle(peers).slice(0, count)) {
      void this.#prober.ping(view);
    }
  }

  /** A call to this node failed: probe it at once. */
  reportUnreachable(id: string): void {
    const view = this.#table.get(id);
    if (view?.state === "alive") {
      void this.#prober.probe(view);
    }
  }

  /** Says to the peers that this node is leaving. */
  async leave(): Promise<void> {
    this.#table.leave();
    const peers = this.#table.others().filter((view) =>
      view.state === "alive" && view.region === this.self.region
    );
    await Promise.all(peers.map((view) => this.#prober.ping(view)));
  }

  /** Stops heartbeats. */
  async close(): Promise<void> {
    this.#deaths.close();
    await this.#beating?.close();
  }

  async #beat(): Promise<void> {
    const target = this.#targets.next();
    if (target !== undefined) {
      await this.#prober.probe(target);
    }
  }

  #changed(view: NodeView): void {
    this.#viewNumber += 1;
    if (view.state !== "unheard") {
      this.#news.add(view);
    }
    this.#deaths.schedule(view);
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
      sender: toRecord(this.#table.self),
      changes: this.#news.take(this.#table.all().length),
    });
    for (const contributor of this.#contributors) {
      contributor.contribute(heartbeat);
    }
    return heartbeat;
  }

  #onHeartbeat(beat: peerpb.Heartbeat): peerpb.Heartbeat {
    this.#absorb(beat);
    return this.#makeHeartbeat();
  }

  #absorb(beat: peerpb.Heartbeat): void {
    if (beat.sender !== undefined) {
      this.#clearSuspicion(beat.sender);
      this.#table.merge(beat.sender);
    }
    beat.changes.forEach((record) => this.#table.merge(record));
    for (const contributor of this.#contributors) {
      contributor.absorb(beat);
    }
  }

  /**
   * Hearing a node directly outweighs a suspicion of the same incarnation.
   * The suspicion is told once more, so that the node can refute it.
   */
  #clearSuspicion(sender: peerpb.NodeRecord): void {
    const known = this.#table.get(sender.id);
    if (known === undefined || sender.state !== peerpb.NodeState.ALIVE) {
      return;
    }
    const held = { ...known };
    if (held.state === "suspect") {
      this.#table.setState(sender.id, "alive");
    }
    if (held.state === "suspect" || held.state === "dead") {
      this.#news.add(held);
    }
  }
}
