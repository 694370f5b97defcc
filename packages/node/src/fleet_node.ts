import {
  AdmissionClient,
  CrashTracker,
  EndpointOwner,
} from "@limpetshed/admission";
import type { Clock } from "@limpetshed/base";
import { ClaimKeeper } from "@limpetshed/claims";
import { ConfigKeeper, type ConfigSnapshot } from "@limpetshed/config";
import { ConfigSpread } from "@limpetshed/config_spread";
import type { EndpointClient } from "@limpetshed/endpoint";
import type { Rng } from "@limpetshed/hashing";
import {
  EndpointDirectory,
  Membership,
  OwnerMap,
  VmListPoller,
} from "@limpetshed/membership";
import type { Logger, Metrics } from "@limpetshed/observe";
import { OrderGiver } from "@limpetshed/orders";
import type { PeerHandlers, PeerTransport } from "@limpetshed/peer";
import { ChatDirectory, type Placement } from "@limpetshed/placement";
import type { Settings } from "@limpetshed/settings";
import { BudgetClient, BudgetOwner, MemberQueue } from "@limpetshed/shares";
import { type Store, StoreClient } from "@limpetshed/store";
import type { VmList } from "@limpetshed/vm_list";
import { CacheMover } from "./cache_mover.ts";
import { ChatService } from "./chat_service.ts";
import { makePlacement } from "./make_placement.ts";
import { PlaceFinder } from "./place_finder.ts";
import { PlainService } from "./plain_service.ts";
import { RetryBudget } from "./retry_budget.ts";

/** What a node is built on; tests pass fakes. */
export interface FleetNodeOptions {
  settings: Settings;
  /** Peer address as other nodes reach it. */
  address: string;
  clock: Clock;
  rng: Rng;
  logger: Logger;
  metrics: Metrics;
  store: Store;
  vmList: VmList;
  transport: PeerTransport;
  handlers: PeerHandlers;
  client: EndpointClient;
}

/** One node of the fleet, without its listeners. */
export class FleetNode {
  readonly membership: Membership;
  readonly directory: EndpointDirectory;
  readonly owners: OwnerMap;
  readonly keeper: ConfigKeeper;
  readonly spread: ConfigSpread;
  readonly endpointOwner: EndpointOwner;
  readonly admissions: AdmissionClient;
  readonly chats: ChatDirectory;
  readonly budgetOwner: BudgetOwner;
  readonly budget: BudgetClient;
  readonly claims: ClaimKeeper;
  readonly orders: OrderGiver;
  readonly chatService: ChatService;
  readonly plainService: PlainService;
  readonly #poller: VmListPoller;
  readonly #options: FleetNodeOptions;
  readonly #store: StoreClient;
  readonly #cacheMover: CacheMover;
  #stopping = false;
  #started = false;

  constructor(options: FleetNodeOptions) {
    this.#options = options;
    const { settings, clock, rng, logger, metrics, client } = options;
    const { transport, handlers } = options;
    const { platform, limits, routing } = settings;
    const common = { clock, rng, logger, metrics, transport, handlers };
    this.#store = new StoreClient({
      store: options.store,
      clock,
      metrics,
      callsPerSecond: platform.store_calls_per_second,
    });
    const membership = new Membership({
      ...common,
      self: {
        id: settings.node.id,
        address: options.address,
        region: settings.node.region,
        availabilityZone: settings.node.availability_zone,
      },
      heartbeatIntervalMs: settings.membership.heartbeat_interval,
      heartbeatTimeoutMs: settings.membership.heartbeat_timeout,
      suspectTimeoutMs: settings.membership.suspect_timeout,
    });
    const directory = new EndpointDirectory();
    const owners = new OwnerMap({ membership });
    this.#poller = new VmListPoller({
      clock,
      rng,
      logger,
      vmList: options.vmList,
      membership,
      directory,
      intervalMs: platform.vm_list_interval,
    });
    const keeper = new ConfigKeeper({
      store: this.#store,
      clock,
      metrics,
      logger,
    });
    const config = (): ConfigSnapshot => keeper.snapshot;
    const store = this.#store;
    const spread = new ConfigSpread({ ...common, keeper, store, membership });
    const crashes = new CrashTracker({ clock, metrics, membership });
    const shared = { ...common, membership, owners, directory, config };
    const endpointOwner = new EndpointOwner({ ...shared, client, crashes });
    const admissions = new AdmissionClient({
      ...shared,
      local: endpointOwner,
      timeoutMs: routing.admission_timeout,
      onVersion: (address, version) => spread.heard(address, version),
    });
    const chats = new ChatDirectory({
      ...shared,
      crashes,
      maxEntries: routing.directory_entries,
    });
    const budgetOwner = new BudgetOwner({
      ...shared,
      terms: (member) => config().member(member),
    });
    const budget = new BudgetClient({ ...shared, local: budgetOwner });
    const placement: Placement = makePlacement(routing.policy, {
      ...shared,
      chats,
      admissions,
      client,
    });
    const retries = new RetryBudget({ ratio: routing.retry_budget });
    const places = new PlaceFinder({
      ...shared,
      placement,
      budget,
      queue: new MemberQueue({
        clock,
        maxPerMember: limits.max_queue_per_member,
      }),
      queueTimeoutMs: limits.queue_timeout,
    });
    this.claims = new ClaimKeeper({ ...shared, store });
    this.chatService = new ChatService({ ...shared, client, places, retries });
    this.plainService = new PlainService({
      ...shared,
      client,
      placement,
      retries,
      claims: this.claims,
      maxBodyBytes: limits.max_body,
      queueTimeoutMs: limits.queue_timeout,
    });
    this.orders = new OrderGiver({
      ...shared,
      store,
      client,
      nodeId: settings.node.id,
      targets: () =>
        endpointOwner.owned().flatMap(({ info, monitor }) =>
          monitor.report === undefined ? [] : [{ info, report: monitor.report }]
        ),
    });
    this.#cacheMover = new CacheMover({ ...shared, client, chats });
    this.membership = membership;
    this.directory = directory;
    this.owners = owners;
    this.keeper = keeper;
    this.spread = spread;
    this.endpointOwner = endpointOwner;
    this.admissions = admissions;
    this.chats = chats;
    this.budgetOwner = budgetOwner;
    this.budget = budget;
  }

  /** Whether the balancer should send callers here. */
  get ready(): boolean {
    return this.#started && !this.#stopping && this.spread.synced;
  }

  /** A planned stop has begun. */
  get stopping(): boolean {
    return this.#stopping;
  }

  /** Joins the fleet. */
  async start(): Promise<void> {
    try {
      await this.#poller.poll();
    } catch (err) {
      this.#options.logger.warn({ err }, "vm list not read at start");
    }
    this.#poller.start();
    await this.membership.start();
    await this.spread.start();
    this.endpointOwner.start();
    this.admissions.start();
    this.budget.start();
    this.orders.start();
    this.#started = true;
  }

  /** Says that the node is leaving and hands over what it keeps for others. */
  async beginStop(): Promise<void> {
    if (this.#stopping) {
      return;
    }
    this.#stopping = true;
    await this.membership.leave();
    await this.chats.handOverAll();
  }

  /** Ends everything; requests in flight are the caller's concern. */
  async close(): Promise<void> {
    await this.#poller.close();
    this.#cacheMover.close();
    await this.orders.close();
    await this.claims.close();
    await this.budget.close();
    await this.admissions.close();
    await this.endpointOwner.close();
    await this.spread.close();
    await this.membership.close();
    await this.#options.transport.close();
    await this.#store.close();
    await this.#options.vmList.close();
    await this.#options.client.close();
  }
}
