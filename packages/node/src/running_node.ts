import {
  repeat,
  type RepeatingTask,
  setInvariantHandler,
  sleep,
  splitHostPort,
  SystemClock,
} from "@limpetshed/base";
import { HttpEndpointClient } from "@limpetshed/endpoint";
import { initHashing, Rng } from "@limpetshed/hashing";
import { type Logger, makeLogger, Metrics } from "@limpetshed/observe";
import {
  ConnectPeerTransport,
  PeerHandlers,
  PeerServer,
  SocketByteCounter,
} from "@limpetshed/peer";
import type { Settings } from "@limpetshed/settings";
import { EtcdStore } from "@limpetshed/store";
import { HttpVmList } from "@limpetshed/vm_list";
import { randomInt } from "node:crypto";
import { makeCallersApp } from "./callers_app.ts";
import { FleetNode } from "./fleet_node.ts";
import { HttpListener } from "./http_listener.ts";
import { makeOperatorsApp } from "./operators_app.ts";
import { RequestLimiter } from "./request_limiter.ts";
import { SecretFiles } from "./secret_files.ts";

const WIRE_METRICS_INTERVAL_MS = 10_000;
const MAX_RNG_SEED = 2 ** 31;
const PATCH_BODY_FACTOR = 4;

/** A node that serves callers, operators and peers on network sockets. */
export class RunningNode {
  readonly settings: Settings;
  readonly node: FleetNode;
  readonly metrics: Metrics;
  readonly logger: Logger;
  readonly requestLimiter: RequestLimiter;
  readonly meter = new SocketByteCounter();
  readonly #clock = new SystemClock();
  readonly #peers: PeerServer;
  readonly #callers: HttpListener;
  readonly #operators: HttpListener;
  readonly #secrets: SecretFiles;
  readonly #reloadTimer: RepeatingTask;
  readonly #wireMetricsTimer: RepeatingTask;

  private constructor(settings: Settings) {
    this.settings = settings;
    const { node: self, limits, listen, log } = settings;
    this.logger = makeLogger({
      level: log.level,
      fields: { node: self.id, zone: self.availability_zone },
    });
    this.metrics = makeMetrics(settings);
    setInvariantHandler((name, details) => {
      this.metrics.count("invariant.broken");
      this.logger.error({ invariant: name, details }, "invariant broken");
    });
    this.#secrets = new SecretFiles(settings);
    const handlers = new PeerHandlers();
    const credentials = () => this.#secrets.peer;
    const shared = { metrics: this.metrics, meter: this.meter, credentials };
    this.#peers = new PeerServer({ ...shared, handlers });
    this.requestLimiter = new RequestLimiter({
      maxConcurrent: limits.max_concurrent,
      maxPerMember: limits.max_concurrent_per_member,
    });
    this.node = new FleetNode({
      settings,
      address: listen.advertise_peers ?? listen.peers,
      clock: this.#clock,
      rng: new Rng(randomInt(MAX_RNG_SEED)),
      logger: this.logger,
      metrics: this.metrics,
      store: new EtcdStore({
        url: settings.platform.store,
        timeoutMs: settings.platform.store_timeout,
      }),
      vmList: new HttpVmList({ url: settings.platform.vm_list }),
      transport: new ConnectPeerTransport({ ...shared, clock: this.#clock }),
      handlers,
      client: new HttpEndpointClient({
        metrics: this.metrics,
        firstByteTimeoutMs: limits.first_byte_timeout,
      }),
    });
    const appOptions = {
      node: this.node,
      requestLimiter: this.requestLimiter,
      settings,
      clock: this.#clock,
      logger: this.logger,
      metrics: this.metrics,
    };
    const { callersTls } = this.#secrets;
    this.#callers = new HttpListener({
      handler: makeCallersApp(appOptions),
      ...(callersTls && { tls: callersTls }),
      maxHeaderBytes: limits.max_header,
    });
    this.#operators = new HttpListener({
      handler: makeOperatorsApp({
        ...appOptions,
        keys: () => this.#secrets.operators,
        maxPatchBytes: PATCH_BODY_FACTOR * limits.max_body,
        wireTotals: () => this.meter.totals(),
      }),
      maxHeaderBytes: limits.max_header,
    });
    this.#wireMetricsTimer = repeat(
      this.#clock,
      () => this.#reportWireBytes(),
      {
        intervalMs: WIRE_METRICS_INTERVAL_MS,
        onError: (err) =>
          this.logger.warn({ err }, "failed to report wire byte counts"),
      },
    );
    this.#reloadTimer = repeat(this.#clock, () => this.#reload(), {
      intervalMs: settings.tls.reload_interval,
      onError: (err) =>
        this.logger.warn({ err }, "failed to reload keys and certificates"),
    });
  }

  /** Starts a node; closes everything opened so far if startup fails. */
  static async start(settings: Settings): Promise<RunningNode> {
    await initHashing();
    splitHostPort(settings.listen.peers);
    const running = new RunningNode(settings);
    try {
      await running.#listen();
    } catch (err) {
      await running.#closeAll();
      throw err;
    }
    return running;
  }

  /**
   * Shuts down gracefully: announces it, keeps accepting requests for
   * `drain_notice` while the load balancer stops sending them, then drains those
   * in flight. Requests still open after `drain_timeout` are aborted.
   */
  async stop(): Promise<void> {
    const { drain_notice: noticeMs, drain_timeout: timeoutMs } =
      this.settings.limits;
    this.logger.info({ open: this.requestLimiter.open }, "stopping");
    await this.node.beginStop();
    await sleep(this.#clock, noticeMs);
    const drained = this.#callers.drain();
    const drainTimer = this.#clock.setTimer(timeoutMs, () => this.abort());
    await this.requestLimiter.waitUntilIdle();
    await drained;
    drainTimer.cancel();
    await this.#closeAll();
    this.logger.info("stopped");
  }

  /** Closes all caller connections immediately. */
  abort(): void {
    this.#callers.abort();
  }

  async #listen(): Promise<void> {
    const { listen } = this.settings;
    await this.#peers.listen(listen.peers);
    await this.node.start();
    const operators = await this.#operators.listen(listen.operators);
    const callers = await this.#callers.listen(listen.callers);
    this.logger.info({ callers, operators, peers: listen.peers }, "listening");
  }

  async #closeAll(): Promise<void> {
    this.#callers.abort();
    this.#operators.abort();
    await Promise.all([
      this.#callers.drain().catch(() => undefined),
      this.#operators.drain().catch(() => undefined),
      this.#reloadTimer.close(),
      this.#wireMetricsTimer.close(),
    ]);
    await this.node.close();
    await this.#peers.close();
    await this.metrics.close();
  }

  #reportWireBytes(): void {
    const { sent, received } = this.meter.totals();
    this.metrics.gauge("peer.bytes_sent", sent);
    this.metrics.gauge("peer.bytes_received", received);
  }

  #reload(): void {
    if (this.#secrets.reload()) {
      this.#peers.reloadTls();
      const { callersTls } = this.#secrets;
      if (callersTls !== undefined) {
        this.#callers.reloadTls(callersTls);
      }
    }
  }
}

function makeMetrics({ metrics, node }: Settings): Metrics {
  const { statsd, prefix } = metrics;
  const tags = { node: node.id, zone: node.availability_zone };
  return new Metrics({
    prefix,
    tags,
    ...(statsd === undefined ? {} : { statsd: splitHostPort(statsd) }),
  });
}
