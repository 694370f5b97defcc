import { type Clock, sleep } from "@limpetshed/base";
import {
  AccountLoads,
  ColdStartLimiter,
  type ColdStartLimits,
  CrashSuspects,
  type Endpoint,
  EndpointChooser,
  type EndpointPolicy,
  EndpointRegistry,
  LoadTracker,
  OutlierDetector,
  OverloadGuard,
  PrefixCacheIndex,
  RetryBudget,
  type RetryLimits,
  ServiceLatency,
} from "@limpetshed/dispatch";
import type { Logger } from "@limpetshed/observe";
import { CurrentConfig } from "@limpetshed/routing";
import { CallRelay } from "./call_relay.ts";
import { ConnectionPool } from "./connection_pool.ts";
import { FrontServer } from "./front_server.ts";
import { ReadinessServer } from "./readiness_server.ts";
import type { RelayObserver } from "./relay_observer.ts";
import { BALANCER_NOTICE_MS, StopPlan } from "./stop_plan.ts";
import type { WireFormat } from "./wire_format.ts";

/** What policies decide by. */
export interface PolicyParts {
  board: LoadTracker;
  holders: PrefixCacheIndex;
  registry: EndpointRegistry;
}

/** Options of {@linkcode RelayNode}. */
export interface RelayNodeOptions {
  clock: Clock;
  logger: Logger;
  nodeId: string;
  /** Ids of the nodes that may exist, this one included. */
  nodeIds: () => readonly string[];
  format: WireFormat;
  observer: RelayObserver;
  makePolicy: (parts: PolicyParts) => EndpointPolicy;
  retryLimits: RetryLimits;
  coldLimits: ColdStartLimits;
  readyPath: string;
  /** A number in `[0, 1)` for each request. */
  fraction: () => number;
}

/** Pause between looks at what is still in flight. */
const STOP_POLL_MS = 50;
/** Part of an endpoint's connections that all nodes together use; the rest is
 * for nodes that start meanwhile. */
const CONNECTION_PART = 0.8;

/** A node that relays: everything between callers and endpoints. */
export class RelayNode {
  readonly config = new CurrentConfig();
  readonly registry: EndpointRegistry;
  readonly board: LoadTracker;
  readonly holders: PrefixCacheIndex;
  readonly crashes: CrashSuspects;
  readonly #options: RelayNodeOptions;
  readonly #pool: ConnectionPool;
  readonly #suspicion: OutlierDetector;
  readonly #pace = new ServiceLatency();
  readonly #accounts = new AccountLoads();
  readonly #coldGate: ColdStartLimiter;
  readonly #front: FrontServer;
  readonly #ready: ReadinessServer;
  readonly #plan: StopPlan;

  constructor(options: RelayNodeOptions) {
    this.#options = options;
    const { clock } = options;
    this.#plan = new StopPlan({ clock });
    this.board = new LoadTracker({ clock });
    this.holders = new PrefixCacheIndex({ clock });
    this.crashes = new CrashSuspects({
      clock,
      onRefused: (suspect) =>
        options.logger.warn({
          event: "crash_suspect",
          outcome: "refused",
          ...suspect,
        }),
    });
    this.#pool = new ConnectionPool({ clock });
    this.#suspicion = new OutlierDetector({ clock });
    this.#coldGate = new ColdStartLimiter({
      clock,
      limits: options.coldLimits,
      nodeId: options.nodeId,
      nodeIds: options.nodeIds,
    });
    this.registry = new EndpointRegistry({
      clock,
      onRemove: (endpoint, reason) => {
        if (reason === "restarted") {
          this.crashes.endpointDown(endpoint.key);
        }
        this.#forget(endpoint);
      },
    });
    this.#front = new FrontServer({
      clock,
      config: this.config,
      format: options.format,
      relay: this.#makeRelay(),
      observer: options.observer,
      plan: this.#plan,
      fraction: options.fraction,
    });
    this.#ready = new ReadinessServer({
      path: options.readyPath,
      isReady: () => this.isReady,
    });
  }

  /** Whether new connections may come here. */
  get isReady(): boolean {
    return !this.#plan.isStopping && this.config.table !== undefined;
  }

  /** Calls that are not answered yet. */
  get inFlight(): number {
    return this.#front.inFlight;
  }

  /** Starts listening for callers and for the balancer, both `ip:port`. */
  async listen({ front, ready }: {
    front: string;
    ready: string;
  }): Promise<void> {
    await this.#front.listen(front);
    await this.#ready.listen(ready);
  }

  /**
   * Finishes what is in flight within `graceMs`: reports itself not ready,
   * accepts connections until the balancer has noticed, then closes.
   */
  async stop({ graceMs }: { graceMs: number }): Promise<void> {
    const { clock, logger } = this.#options;
    const startedMs = clock.monotonicMs();
    this.#plan.begin(graceMs);
    logger.info({
      event: "stop",
      outcome: "draining",
      inFlight: this.#front.inFlight,
      graceMs,
    });
    await sleep(clock, Math.min(BALANCER_NOTICE_MS, graceMs / 2));
    this.#front.closeIdle();
    while (this.#front.inFlight > 0 && this.#plan.leftMs > 0) {
      await sleep(clock, STOP_POLL_MS);
      this.#front.closeIdle();
    }
    logger.info({
      event: "stop",
      outcome: this.#front.inFlight === 0 ? "finished" : "cut_off",
      inFlight: this.#front.inFlight,
      tookMs: Math.round(clock.monotonicMs() - startedMs),
    });
    this.close();
  }

  /** Closes everything at once. */
  close(): void {
    this.#front.close();
    this.#ready.close();
    this.#pool.close();
  }

  #makeRelay(): CallRelay {
    const { clock, format, observer, nodeIds, retryLimits } = this.#options;
    return new CallRelay({
      clock,
      chooser: this.#makeChooser(),
      board: this.board,
      suspicion: this.#suspicion,
      crashes: this.crashes,
      allowance: new RetryBudget({
        clock,
        limits: retryLimits,
        nodes: () => nodeIds().length,
      }),
      pool: this.#pool,
      format,
      observer,
      pace: this.#pace,
      accounts: this.#accounts,
      table: () => this.config.table,
    });
  }

  #makeChooser(): EndpointChooser {
    const { clock, makePolicy, nodeIds } = this.#options;
    const { board, holders, registry } = this;
    return new EndpointChooser({
      clock,
      registry,
      policy: makePolicy({ board, holders, registry }),
      coldStartLimiter: this.#coldGate,
      outlierDetector: this.#suspicion,
      guard: new OverloadGuard({
        loads: board,
        latency: this.#pace,
        accounts: this.#accounts,
      }),
      isConnectionLimitReached: (address, { maxConnections }) => {
        const share = CONNECTION_PART * maxConnections / nodeIds().length;
        return this.#pool.openCount(address) >= Math.max(1, Math.floor(share));
      },
    });
  }

  #forget({ key, entry }: Endpoint): void {
    this.#suspicion.forget(key);
    this.#coldGate.forget(key);
    this.board.forget(key);
    this.#pool.forget(entry.address);
  }
}
