import { type Clock, repeat, type RepeatingTask } from "@limpetshed/base";
import { Departures, type Endpoint, PrefixPolicy } from "@limpetshed/dispatch";
import {
  LoadExchange,
  NodeRegistration,
  PeerChangeSource,
  PeerDirectory,
  PeerServer,
  type RegistrationStore,
} from "@limpetshed/fleet";
import { Rng } from "@limpetshed/hashing";
import {
  type ChangeSource,
  KeyMirror,
  MirrorFollower,
} from "@limpetshed/mirror";
import type { RelayMetrics } from "@limpetshed/observe";
import { type Logger } from "@limpetshed/observe";
import {
  MetricsServer,
  RelayNode,
  TelemetryObserver,
  type WireFormat,
} from "@limpetshed/relay";
import { crashReports, flatReports } from "./crash_reports.ts";
import { flatParts, heldParts } from "./held_parts.ts";
import type { FleetRelaySettings } from "./fleet_relay_settings.ts";
import { PlacementRecovery } from "./placement_recovery.ts";
import { StateSources } from "./state_sources.ts";

/** What shared state changes in a node. */
export interface StateTargets {
  mirror: KeyMirror;
  node: Pick<RelayNode, "config" | "registry">;
  departures: Departures;
  directory: PeerDirectory;
}

/** Options of {@linkcode FleetRelay}. */
export interface FleetRelayOptions {
  clock: Clock;
  logger: Logger;
  metrics: RelayMetrics;
  settings: FleetRelaySettings;
  format: WireFormat;
  /** Log lines dropped since the start. */
  droppedLogLines?: () => number;
  /** Path that the balancer asks for. */
  readyPath: string;
  /** Shared state as the store has it. */
  storeSource: ChangeSource;
  registration: { store: RegistrationStore; key: string; value: string };
  /** Connects changes of shared state with what they change. */
  connectState: (targets: StateTargets) => void;
  /** Ids of the parts of prompts that an endpoint says it holds. */
  listHeldParts: (
    endpoint: Endpoint,
    options: { signal: AbortSignal },
  ) => Promise<string[]>;
}

/** Pause between rounds that drop old figures. */
const HOUSEKEEPING_MS = 500;

/** A relay node among others. */
export class FleetRelay {
  readonly #options: FleetRelayOptions;
  readonly #rng: Rng;
  readonly #mirror = new KeyMirror();
  readonly #directory: PeerDirectory;
  readonly #node: RelayNode;
  readonly #sources: StateSources;
  readonly #recovery: PlacementRecovery;
  readonly #peerSource: PeerChangeSource;
  readonly #followers: { store: MirrorFollower; peers: MirrorFollower };
  readonly #peerServer: PeerServer;
  readonly #metricsServer: MetricsServer;
  readonly #exchange: LoadExchange;
  readonly #registration: NodeRegistration;
  readonly #departures: Departures;
  readonly #housekeeping: RepeatingTask;
  #graceMs: number;

  constructor(options: FleetRelayOptions) {
    this.#options = options;
    const { clock, logger, settings } = options;
    this.#rng = new Rng(settings.seed);
    this.#graceMs = settings.graceMs;
    this.#directory = new PeerDirectory({ clock, selfId: settings.nodeId });
    this.#node = this.#makeNode();
    this.#sources = this.#makeSources();
    this.#recovery = this.#makeRecovery();
    this.#peerSource = new PeerChangeSource({
      clock,
      choose: () => this.#sources.peerToAsk(),
    });
    this.#followers = this.#makeFollowers();
    this.#departures = this.#makeDepartures();
    options.connectState({
      mirror: this.#mirror,
      node: this.#node,
      departures: this.#departures,
      directory: this.#directory,
    });
    this.#peerServer = new PeerServer({
      clock,
      mirror: this.#mirror,
      placements: () => this.#recovery.told(),
    });
    this.#metricsServer = new MetricsServer({
      metrics: options.metrics,
      onScrape: () => this.#setGauges(),
    });
    this.#exchange = this.#makeExchange();
    this.#registration = new NodeRegistration({
      clock,
      logger,
      ...options.registration,
    });
    const tidy = () =>
      this.#node.endpointLoads.expirePeers(this.#directory.silentMs);
    this.#housekeeping = repeat(clock, tidy, {
      intervalMs: HOUSEKEEPING_MS,
      onError: (err) => logger.error({ event: "housekeeping", err }),
    });
  }

  /** Starts listening. */
  async start(): Promise<void> {
    const { settings, logger } = this.#options;
    const { listen } = settings;
    await this.#peerServer.listen(listen.calls);
    await this.#exchange.listen(listen.datagrams);
    if (listen.metrics !== undefined) {
      await this.#metricsServer.listen(listen.metrics);
    }
    await this.#node.listen(listen);
    logger.info({ event: "start", node: settings.nodeId, ...listen });
    this.#node.config.onChange(() => this.#recovery.begin());
    if (this.#node.config.table !== undefined) {
      this.#recovery.begin();
    }
  }

  /** Takes settings that a running node can change. */
  reload({ graceMs, seeds }: { graceMs: number; seeds: readonly string[] }) {
    this.#graceMs = graceMs;
    this.#sources.setSeeds(seeds);
  }

  /** Finishes what is in flight, then closes. */
  async stop(): Promise<void> {
    await this.#node.stop({ graceMs: this.#graceMs });
    await this.close();
  }

  /** Closes everything at once. */
  async close(): Promise<void> {
    this.#recovery.close();
    this.#departures.close();
    this.#node.close();
    this.#peerServer.close();
    this.#metricsServer.close();
    this.#peerSource.close();
    await Promise.all([
      this.#followers.store.close(),
      this.#followers.peers.close(),
      this.#exchange.close(),
      this.#registration.close(),
      this.#housekeeping.close(),
    ]);
  }

  #makeNode(): RelayNode {
    const { clock, logger, settings, format, metrics, readyPath } =
      this.#options;
    return new RelayNode({
      clock,
      logger,
      nodeId: settings.nodeId,
      nodeIds: () => this.#directory.ids(),
      format,
      observer: new TelemetryObserver({ clock, logger, metrics }),
      makePolicy: (
        { endpointLoads: board, prefixHolders: holders, registry },
      ) =>
        new PrefixPolicy({
          board,
          holders,
          availabilityZone: settings.availabilityZone,
          loadMultiple: settings.loadMultiple,
          find: (key) => registry.find(key),
        }),
      retryLimits: settings.retryLimits,
      coldLimits: settings.coldLimits,
      readinessPath: readyPath,
      random: () => this.#rng.fraction(),
    });
  }

  #makeSources(): StateSources {
    const { clock, settings } = this.#options;
    return new StateSources({
      clock,
      rng: this.#rng,
      nodeId: settings.nodeId,
      availabilityZone: settings.availabilityZone,
      ownAddress: settings.listen.calls,
      directory: this.#directory,
      mirror: this.#mirror,
      seeds: settings.seeds,
    });
  }

  #makeRecovery(): PlacementRecovery {
    const { clock, logger, settings, listHeldParts } = this.#options;
    return new PlacementRecovery({
      clock,
      logger,
      rng: this.#rng,
      nodeId: settings.nodeId,
      directory: this.#directory,
      node: this.#node,
      isFirstStart: settings.isFirstStart,
      listHeldParts,
    });
  }

  #makeFollowers(): { store: MirrorFollower; peers: MirrorFollower } {
    const { clock, logger, storeSource } = this.#options;
    const sources = this.#sources;
    const shared = { clock, logger, mirror: this.#mirror };
    const store = new MirrorFollower({
      ...shared,
      source: storeSource,
      isWanted: () => sources.hasWatchDuty,
    });
    sources.attach(store);
    const peers = new MirrorFollower({
      ...shared,
      source: this.#peerSource,
      isWanted: () => sources.needsPeers,
    });
    return { store, peers };
  }

  #makeDepartures(): Departures {
    const { clock, settings } = this.#options;
    return new Departures({
      clock,
      registry: this.#node.registry,
      lastOutageEndMs: () => this.#followers.store.lastOutageEndMs,
      drainMs: settings.drainMs,
    });
  }

  #makeExchange(): LoadExchange {
    const { clock, logger, settings } = this.#options;
    const {
      endpointLoads: board,
      prefixHolders: holders,
      crashSuspects: crashes,
    } = this.#node;
    return new LoadExchange({
      clock,
      logger,
      nodeId: settings.nodeId,
      incarnation: settings.incarnation,
      directory: this.#directory,
      ownCounts: () => board.ownCounts(),
      asOf: () => this.#mirror.asOf,
      storePath: () => this.#sources.storePath,
      takePlaced: () => flatParts(holders.takeNews()),
      takeCrashed: () => flatReports(crashes.takeNews()),
      onCounts: (nodeId, counts) => board.setPeer(nodeId, counts),
      onPlaced: (placed) => holders.heard(heldParts(placed)),
      onCrashed: (crashed) => crashes.heard(crashReports(crashed)),
    });
  }

  #setGauges(): void {
    const { metrics, droppedLogLines = () => 0 } = this.#options;
    metrics.gauge("limpetshed_log_lines_dropped", droppedLogLines());
    metrics.gauge("limpetshed_in_flight", this.#node.inFlight);
    metrics.gauge("limpetshed_config_version", this.#node.config.version);
    metrics.gauge("limpetshed_state_revision", this.#mirror.asOf);
    metrics.gauge("limpetshed_nodes", this.#directory.ids().length);
    for (const [source, follower] of Object.entries(this.#followers)) {
      const value = follower.isReachable ? 1 : 0;
      metrics.gauge("limpetshed_source_reachable", value, { source });
    }
  }
}
