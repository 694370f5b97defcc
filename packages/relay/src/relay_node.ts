import {
  AccountLoads,
  BrittleEndpoints,
  ColdStartLimiter,
  type CrashSuspects,
  type Endpoint,
  type EndpointChooser,
  EndpointLimiter,
  EndpointRegistry,
  EndpointRests,
  ExecutionTimes,
  HedgePolicy,
  LoadTracker,
  OutlierDetector,
  PrefixCacheIndex,
  RetryBudget,
  ServiceLatency,
  ServiceVersions,
  StreamOrigins,
  VersionRollouts,
} from "@limpetshed/dispatch";
import { CurrentConfig } from "@limpetshed/routing";
import { ClientResources, DEFAULT_MACHINE_LIMITS } from "./client_resources.ts";
import { AttemptTracker } from "./attempt_tracker.ts";
import { ChangeLogger } from "./change_logger.ts";
import { makeChooser } from "./make_chooser.ts";
import { makeCrashSuspects } from "./make_crash_suspects.ts";
import { CrashGuard } from "./crash_guard.ts";
import { DirectConnector } from "./direct_connector.ts";
import { drainServer } from "./drain_server.ts";
import { EndpointLinks } from "./endpoint_links.ts";
import { GracefulShutdown } from "./graceful_shutdown.ts";
import { NoTunnels } from "./helper_tunnels.ts";
import { LeavingRecorder } from "./leaving_recorder.ts";
import { LimitRecorder } from "./limit_recorder.ts";
import { OwnRequests } from "./own_requests.ts";
import { ReadinessServer } from "./readiness_server.ts";
import type { RelayNodeOptions } from "./relay_node_options.ts";
import { RelayServer } from "./relay_server.ts";
import { RequestForwarder } from "./request_forwarder.ts";
import { RestRecorder } from "./rest_recorder.ts";
import { RetryGuard } from "./retry_guard.ts";
import { ALWAYS_CONFIRMED, type StateView } from "./state_view.ts";
import { StreamOriginResolver } from "./stream_origin_resolver.ts";

/** Time until the entry of an endpoint that ended lapses: several missed
 * heartbeats, which endpoints send each second. */
const ENTRY_LAPSE_MS = 4_000;

/** Wires up one relay node: client and readiness servers, endpoint selection,
 * connection pool and graceful shutdown. */
export class RelayNode {
  readonly config = new CurrentConfig();
  readonly registry: EndpointRegistry;
  readonly endpointLoads: LoadTracker;
  readonly prefixCacheIndex: PrefixCacheIndex;
  readonly crashSuspects: CrashSuspects;
  /** Limits that endpoints name. */
  readonly endpointLimiter: EndpointLimiter;
  /** Rests that endpoints ask for. */
  readonly rests: EndpointRests;
  /** Endpoints that say outside their entries that they leave. */
  readonly leavings: LeavingRecorder;
  /** Requests that this node sends by itself. */
  readonly ownRequests: OwnRequests;
  /** Where streams began that clients may resume. */
  readonly streamOrigins: StreamOrigins;
  readonly serviceVersions: ServiceVersions;
  readonly versionRollouts: VersionRollouts;
  readonly endpointLinks: EndpointLinks;
  readonly clientResources: ClientResources;
  readonly #options: RelayNodeOptions & { view: StateView };
  readonly #outlierDetector: OutlierDetector;
  readonly #serviceLatency = new ServiceLatency();
  readonly #accountLoads = new AccountLoads();
  readonly #executionTimes = new ExecutionTimes();
  readonly #coldStartLimiter: ColdStartLimiter;
  readonly #brittleEndpoints: BrittleEndpoints;
  readonly #server: RelayServer;
  readonly #readiness: ReadinessServer;
  readonly #shutdown: GracefulShutdown;

  constructor(options: RelayNodeOptions) {
    const {
      clock,
      view = ALWAYS_CONFIRMED,
      machine = DEFAULT_MACHINE_LIMITS,
    } = options;
    this.#options = { ...options, view };
    this.clientResources = new ClientResources({ clock, machine });
    this.#shutdown = new GracefulShutdown({ clock });
    const changes = new ChangeLogger(options);
    const { hasUnevenLoad = false } = options;
    this.endpointLoads = new LoadTracker({
      clock,
      followsSpeeds: hasUnevenLoad,
    });
    this.prefixCacheIndex = new PrefixCacheIndex({ clock });
    this.crashSuspects = makeCrashSuspects(options);
    this.endpointLimiter = new EndpointLimiter({
      clock,
      nodeId: options.nodeId,
      nodeIds: options.nodeIds,
      peerTimeoutMs: options.peerTimeoutMs,
      onChange: (change) => changes.log("endpoint_limit", change),
    });
    this.rests = new EndpointRests({
      clock,
      nodeId: options.nodeId,
      nodeIds: options.nodeIds,
      onChange: (change) => changes.log("endpoint_rest", change),
    });
    this.endpointLinks = new EndpointLinks({
      clock,
      logger: options.logger,
      observer: options.observer,
      direct: options.directConnector ?? new DirectConnector({ clock }),
      tunnels: options.tunnels ?? new NoTunnels(),
    });
    this.#outlierDetector = new OutlierDetector({ clock });
    this.#coldStartLimiter = new ColdStartLimiter({
      clock,
      limits: options.coldLimits,
      nodeId: options.nodeId,
      nodeIds: options.nodeIds,
    });
    this.registry = new EndpointRegistry({
      clock,
      onRemove: (endpoint, reason) => {
        if (reason === "restarted") {
          this.crashSuspects.recordEndpointDown(endpoint.key);
        }
        this.#removeEndpoint(endpoint);
      },
      onVanished: ({ key }) =>
        this.crashSuspects.recordEndpointDown(key, {
          noticeMs: ENTRY_LAPSE_MS,
        }),
    });
    this.leavings = new LeavingRecorder({ registry: this.registry, changes });
    this.ownRequests = new OwnRequests({
      registry: this.registry,
      rests: this.rests,
      limiter: this.endpointLimiter,
      leavings: this.leavings,
      outlierDetector: this.#outlierDetector,
      format: options.format,
    });
    this.#brittleEndpoints = new BrittleEndpoints({
      clock,
      nodeId: options.nodeId,
      nodeIds: options.nodeIds,
    });
    this.streamOrigins = new StreamOrigins({ clock });
    this.serviceVersions = new ServiceVersions({
      clock,
      registry: this.registry,
    });
    this.versionRollouts = new VersionRollouts({
      ...options,
      registry: this.registry,
      loads: this.endpointLoads,
      limits: options.exposureLimits ?? { share: 0, slack: 0 },
      onChange: (change) => options.observer.rolloutChanged(change),
    });
    this.#server = new RelayServer({
      clock,
      config: this.config,
      format: options.format,
      forwarder: this.#makeForwarder(),
      observer: options.observer,
      shutdown: this.#shutdown,
      resources: this.clientResources,
      originResolver: new StreamOriginResolver({
        clock,
        origins: this.streamOrigins,
        versions: this.serviceVersions,
        view,
        onResolved: (lookup) => options.observer.originResolved(lookup),
      }),
      random: options.random,
    });
    this.#readiness = new ReadinessServer({
      path: options.readinessPath,
      isReady: () => this.isReady,
    });
  }

  /** Whether the load balancer may send new connections to this node. */
  get isReady(): boolean {
    return !this.#shutdown.isStopping && this.config.table !== undefined;
  }

  /** Number of requests being forwarded. */
  get inFlight(): number {
    return this.#server.inFlight;
  }

  /** Whether an endpoint at `ip:port` asked this node for a rest that is not
   * over. */
  isRestingAt(address: string): boolean {
    return this.registry.endpointsAt(address)
      .some(({ key }) => this.rests.isResting(key));
  }

  /** Starts listening for clients (`front`) and for readiness checks (`ready`),
   * both `ip:port`; returns the actual address for clients. */
  async listen({ front, ready }: {
    front: string;
    ready: string;
  }): Promise<string> {
    const address = await this.#server.listen(front);
    await this.#readiness.listen(ready);
    return address;
  }

  /**
   * Shuts down gracefully within `graceMs`: reports not ready, keeps accepting
   * connections until the load balancer has noticed (for at most half of
   * `graceMs`), then drains and closes.
   */
  async stop({ graceMs }: { graceMs: number }): Promise<void> {
    const { clock, logger } = this.#options;
    await drainServer({
      clock,
      logger,
      server: this.#server,
      shutdown: this.#shutdown,
      graceMs,
    });
    this.close();
  }

  /** Closes the servers and all connections immediately. */
  close(): void {
    this.#server.close();
    this.#readiness.close();
    this.endpointLinks.close();
  }

  #makeForwarder(): RequestForwarder {
    const { clock, logger, format, observer, view, nodeIds, retryLimits } =
      this.#options;
    return new RequestForwarder({
      clock,
      hedgePolicy: new HedgePolicy({ clock, share: this.#options.hedgedShare }),
      chooser: this.#makeChooser(),
      endpointLoads: this.endpointLoads,
      outlierDetector: this.#outlierDetector,
      crashGuard: new CrashGuard({
        suspects: this.crashSuspects,
        probe: this.endpointLinks.livenessProbe,
        isLeaving: (key) => this.#isLeaving(key),
      }),
      limitRecorder: new LimitRecorder({
        limiter: this.endpointLimiter,
        brittleEndpoints: this.#brittleEndpoints,
        logger,
        observer,
      }),
      restRecorder: new RestRecorder({ rests: this.rests, logger, observer }),
      rests: this.rests,
      leavingRecorder: this.leavings,
      retryGuard: new RetryGuard({
        budget: new RetryBudget({
          clock,
          limits: retryLimits,
          nodeCount: () => nodeIds().length,
        }),
        observer,
      }),
      pool: this.endpointLinks.pool,
      format,
      observer,
      streamOrigins: this.streamOrigins,
      versions: this.serviceVersions,
      registry: this.registry,
      view,
      attemptTracker: new AttemptTracker({
        clock,
        accountLoads: this.#accountLoads,
        serviceLatency: this.#serviceLatency,
        executionTimes: this.#executionTimes,
      }),
      routeTable: () => this.config.table,
    });
  }

  #makeChooser(): EndpointChooser {
    const { clock, makePolicy, nodeIds } = this.#options;
    const { endpointLoads, prefixCacheIndex, registry } = this;
    return makeChooser({
      clock,
      registry,
      policy: makePolicy({ endpointLoads, prefixCacheIndex, registry }),
      coldStartLimiter: this.#coldStartLimiter,
      endpointLimiter: this.endpointLimiter,
      rests: this.rests,
      outlierDetector: this.#outlierDetector,
      versions: this.serviceVersions,
      brittleEndpoints: this.#brittleEndpoints,
      loads: endpointLoads,
      latency: this.#serviceLatency,
      accounts: this.#accountLoads,
      gate: this.versionRollouts,
      executionTimes: this.#executionTimes,
      random: this.#options.random,
      hasUnevenLoad: this.#options.hasUnevenLoad ?? false,
      pool: this.endpointLinks.pool,
      nodeIds,
    });
  }

  #isLeaving(endpointKey: string): boolean {
    const endpoint = this.registry.getByKey(endpointKey);
    return endpoint === undefined
      ? !this.registry.hasRestarted(endpointKey)
      : this.registry.isLeaving(endpoint);
  }

  #removeEndpoint(endpoint: Endpoint): void {
    const { key, entry } = endpoint;
    this.serviceVersions.recordRemoved(endpoint);
    this.#outlierDetector.forget(key);
    this.#coldStartLimiter.forget(key);
    this.#brittleEndpoints.forget(key);
    this.endpointLimiter.forget(key);
    this.endpointLoads.forget(key);
    this.endpointLinks.forget(entry.address);
  }
}
