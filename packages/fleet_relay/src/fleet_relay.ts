import {
  type Clock,
  repeat,
  type RepeatingTask,
  splitHostPort,
} from "@limpetshed/base";
import { type Endpoint, PrefixPolicy } from "@limpetshed/dispatch";
import {
  LoadExchange,
  NodeRegistration,
  PeerDirectory,
  PeerServer,
  type RegistrationStore,
  type StreamLogOptions,
} from "@limpetshed/fleet";
import { Rng } from "@limpetshed/hashing";
import type { ChangeReader, ChangeSource, KeyClass } from "@limpetshed/mirror";
import type { Logger, RelayMetrics } from "@limpetshed/observe";
import {
  DirectConnector,
  type EndpointConnector,
  MetricsServer,
  type OwnResponse,
  RelayNode,
  type WireFormat,
} from "@limpetshed/relay";
import type { RoutingConfig } from "@limpetshed/routing";
import type { FleetRelaySettings } from "./fleet_relay_settings.ts";
import { makeStateHandlers } from "./make_state_handlers.ts";
import { NodeTunnels } from "./node_tunnels.ts";
import { PlacementRecovery } from "./placement_recovery.ts";
import {
  RolloutCoordination,
  type RolloutStore,
} from "./rollout_coordination.ts";
import { RolloutObserver } from "./rollout_observer.ts";
import { StateApplication, type StateTargets } from "./state_application.ts";
import { StateReplica } from "./state_replica.ts";
import { updateGauges } from "./update_gauges.ts";
import { SpeedSharing } from "./speed_sharing.ts";
import { StreamRecords } from "./stream_records.ts";

/** Options of {@linkcode FleetRelay}. */
export interface FleetRelayOptions {
  clock: Clock;
  logger: Logger;
  metrics: RelayMetrics;
  settings: FleetRelaySettings;
  format: WireFormat;
  /** Returns the number of log lines dropped since the start. */
  droppedLogLines?: () => number;
  /** Path of the load balancer's readiness check. */
  readinessPath: string;
  /** Reads shared state from the store. */
  storeSource: ChangeSource & ChangeReader;
  /** Classes of the keys of shared state. */
  keyClasses: readonly KeyClass[];
  registration: { store: RegistrationStore; key: string; value: string };
  /** Opens connections to endpoints over this node's own links. */
  connector?: EndpointConnector;
  /** Where the store keeps the versions of streams. */
  streamStore: Pick<StreamLogOptions, "store" | "batchPrefix" | "markKey">;
  /** Where the store keeps rollouts. */
  rolloutStore: RolloutStore;
  /** Decodes a configuration as it is stored; throws if it is none. */
  decodeConfig: (text: string) => RoutingConfig;
  /** Subscribes the components to changes of shared state. */
  subscribeToState: (targets: StateTargets) => void;
  /** Fetches the ids of the prompt parts that an endpoint reports as cached. */
  fetchCachedPartIds: (
    endpoint: Endpoint,
    options: {
      signal: AbortSignal;
      /** Called with the head of the endpoint's response. */
      onHead: (head: OwnResponse) => void;
    },
  ) => Promise<string[]>;
}

/** Interval at which load figures of silent peers are dropped. */
const HOUSEKEEPING_INTERVAL_MS = 500;

/** Runs a relay node in a fleet: follows shared state, registers the node,
 * exchanges load with its peers and recovers placements. */
export class FleetRelay {
  readonly #options: FleetRelayOptions;
  readonly #rng: Rng;
  readonly #directory: PeerDirectory;
  readonly #directConnector: EndpointConnector;
  readonly #tunnels: NodeTunnels;
  readonly #node: RelayNode;
  readonly #state: StateReplica;
  readonly #recovery: PlacementRecovery;
  readonly #peerServer: PeerServer;
  readonly #metricsServer: MetricsServer;
  readonly #loadExchange: LoadExchange;
  readonly #registration: NodeRegistration;
  readonly #streamRecords: StreamRecords;
  readonly #rollouts: RolloutCoordination;
  readonly #speedSharing: SpeedSharing;
  readonly #stateApplication: StateApplication;
  readonly #housekeeping: RepeatingTask;
  #graceMs: number;

  constructor(options: FleetRelayOptions) {
    this.#options = options;
    const { clock, logger, settings } = options;
    this.#rng = new Rng(settings.rngSeed);
    this.#graceMs = settings.graceMs;
    this.#directory = new PeerDirectory({ clock, selfId: settings.nodeId });
    this.#directConnector = options.connector ?? new DirectConnector({ clock });
    this.#tunnels = this.#makeTunnels();
    this.#state = new StateReplica({
      clock,
      logger,
      metrics: options.metrics,
      rng: this.#rng,
      settings,
      directory: this.#directory,
      storeSource: options.storeSource,
      keyClasses: options.keyClasses,
    });
    this.#node = this.#makeNode();
    this.#recovery = this.#makeRecovery();
    this.#stateApplication = new StateApplication({
      ...options,
      rng: this.#rng,
      directory: this.#directory,
      state: this.#state,
      node: this.#node,
    });
    options.subscribeToState(this.#stateApplication.targets);
    this.#peerServer = new PeerServer({
      clock,
      tunnels: this.#tunnels.given,
      mirror: this.#state.mirror,
      placements: () => this.#recovery.encodedPlacements(),
      configNewerThan: (version) =>
        this.#stateApplication.configIntake.newerThan(version),
    });
    this.#metricsServer = new MetricsServer({
      metrics: options.metrics,
      onScrape: () =>
        updateGauges(options.metrics, {
          node: this.#node,
          directory: this.#directory,
          state: this.#state,
          droppedLogLines: options.droppedLogLines?.() ?? 0,
        }),
    });
    this.#loadExchange = this.#makeLoadExchange();
    this.#streamRecords = new StreamRecords({
      clock,
      logger,
      store: options.streamStore,
      nodeId: settings.nodeId,
      node: this.#node,
      directory: this.#directory,
      writerIds: () => this.#state.sourceSelector.fleetWriterIds,
      era: () => this.#state.mirror.era,
      send: (address, datagrams) => this.#loadExchange.send(address, datagrams),
    });
    this.#rollouts = new RolloutCoordination({
      ...options,
      ...settings,
      rollouts: this.#node.versionRollouts,
      directory: this.#directory,
      writerId: () => this.#state.sourceSelector.fleetWriterId,
      era: () => this.#state.mirror.era,
      send: (address, datagrams) => this.#loadExchange.send(address, datagrams),
    });
    this.#speedSharing = new SpeedSharing({
      clock,
      logger,
      availabilityZone: settings.availabilityZone,
      directory: this.#directory,
      speeds: this.#node.endpointLoads.speeds,
      isEndpoint: (key) => this.#node.registry.getByKey(key) !== undefined,
      send: (address, datagrams) => this.#loadExchange.send(address, datagrams),
    });
    this.#registration = new NodeRegistration({
      clock,
      logger,
      ...options.registration,
      era: () => this.#state.mirror.era,
      random: () => this.#rng.fraction(),
    });
    const expireSilentPeers = () =>
      this.#node.endpointLoads.expirePeers(this.#directory.livenessTimeoutMs);
    this.#housekeeping = repeat(clock, expireSilentPeers, {
      intervalMs: HOUSEKEEPING_INTERVAL_MS,
      onError: (err) => logger.error({ event: "housekeeping", err }),
    });
  }

  /** Starts listening. */
  async start(): Promise<void> {
    const { settings: { nodeId, listen }, logger } = this.#options;
    await this.#peerServer.listen(listen.calls);
    await this.#loadExchange.listen(listen.datagrams);
    if (listen.metrics !== undefined) {
      await this.#metricsServer.listen(listen.metrics);
    }
    await this.#node.listen(listen);
    logger.info({ event: "start", node: nodeId, ...listen });
    this.#node.config.onChange(() => this.#recovery.start());
    if (this.#node.config.table !== undefined) {
      this.#recovery.start();
    }
  }

  /** Applies the settings that can change at runtime. */
  reload({ graceMs, seeds }: { graceMs: number; seeds: readonly string[] }) {
    this.#graceMs = graceMs;
    this.#state.sourceSelector.setSeeds(seeds);
  }

  /** Lets requests in flight finish within the grace period, then closes. */
  async stop(): Promise<void> {
    this.#tunnels.given.stop();
    const drained = this.#tunnels.drained(this.#graceMs);
    await this.#node.stop({ graceMs: this.#graceMs });
    await drained;
    await this.close();
  }

  /** Closes everything immediately. */
  async close(): Promise<void> {
    this.#recovery.close();
    this.#stateApplication.close();
    this.#node.close();
    this.#tunnels.given.close();
    this.#peerServer.close();
    this.#metricsServer.close();
    await Promise.all([
      this.#state.close(),
      this.#loadExchange.close(),
      this.#registration.close(),
      this.#streamRecords.close(),
      this.#rollouts.close(),
      this.#speedSharing.close(),
      this.#housekeeping.close(),
    ]);
  }

  #makeNode(): RelayNode {
    const { clock, logger, settings, format, metrics, readinessPath } =
      this.#options;
    return new RelayNode({
      clock,
      logger,
      nodeId: settings.nodeId,
      nodeIds: () => this.#directory.nodeIds(),
      peerTimeoutMs: () => this.#directory.livenessTimeoutMs,
      format,
      observer: new RolloutObserver({
        clock,
        logger,
        metrics,
        stateAgeMs: () => this.#state.ageMs,
        onAnswer: (answer) => this.#node.versionRollouts.recordAnswer(answer),
      }),
      directConnector: this.#directConnector,
      tunnels: this.#tunnels.asked,
      view: {
        confirmedMs: () => this.#state.mirror.confirmedMs,
        confirm: (afterMs) => this.#state.confirm(afterMs),
        onceConfirmed: (afterMs, fn) => this.#state.onceConfirmed(afterMs, fn),
      },
      makePolicy: (
        { endpointLoads, prefixCacheIndex, registry },
      ) =>
        new PrefixPolicy({
          loads: endpointLoads,
          cacheIndex: prefixCacheIndex,
          availabilityZone: settings.availabilityZone,
          loadMultiple: settings.loadMultiple,
          findEndpoint: (key) => registry.getByKey(key),
          random: () => this.#rng.fraction(),
        }),
      machine: settings.machine,
      hasUnevenLoad: settings.hasUnevenLoad,
      retryLimits: settings.retryLimits,
      hedgedShare: settings.hedgedShare,
      coldLimits: settings.coldLimits,
      exposureLimits: settings.exposureLimits,
      readinessPath,
      random: () => this.#rng.fraction(),
    });
  }

  #makeRecovery(): PlacementRecovery {
    const { clock, logger, settings, fetchCachedPartIds } = this.#options;
    return new PlacementRecovery({
      clock,
      logger,
      rng: this.#rng,
      nodeId: settings.nodeId,
      directory: this.#directory,
      node: this.#node,
      isFirstStart: settings.isFirstStart,
      fetchCachedPartIds,
    });
  }

  #makeTunnels(): NodeTunnels {
    const { clock, metrics, settings } = this.#options;
    return new NodeTunnels({
      clock,
      metrics,
      ownIp: splitHostPort(settings.listen.calls).host,
      availabilityZone: settings.availabilityZone,
      directory: this.#directory,
      connector: this.#directConnector,
      isEndpoint: (address) => this.#node.registry.hasAddress(address),
      isResting: (address) => this.#node.isRestingAt(address),
    });
  }

  #makeLoadExchange(): LoadExchange {
    const { clock, logger, settings } = this.#options;
    return new LoadExchange({
      clock,
      logger,
      nodeId: settings.nodeId,
      incarnation: settings.incarnation,
      directory: this.#directory,
      position: () => this.#state.mirror.position,
      storeConnectivity: () => this.#state.sourceSelector.storeConnectivity,
      ...makeStateHandlers(this.#node),
      onOtherDatagram: (data) => {
        const isKnown = this.#rollouts.receive(data) ||
          this.#speedSharing.receive(data);
        if (!isKnown) {
          this.#streamRecords.sharing.receive(data);
        }
      },
    });
  }
}
