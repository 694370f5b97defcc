import type { AdmissionClient, EndpointOwner } from "@limpetshed/admission";
import type { IdempotentCallRunner } from "@limpetshed/claims";
import type { ConfigReplica } from "@limpetshed/config";
import type { ConfigSync } from "@limpetshed/config_spread";
import type {
  EndpointDirectory,
  Membership,
  OwnerMap,
  VmListPoller,
} from "@limpetshed/membership";
import type { EndpointReconciler } from "@limpetshed/orders";
import type { ChatDirectory } from "@limpetshed/placement";
import type { BudgetClient, BudgetOwner } from "@limpetshed/shares";
import type { StoreClient } from "@limpetshed/store";
import type { CacheMover } from "./cache_mover.ts";
import type { ChatService } from "./chat_service.ts";
import {
  type FleetNodeOptions,
  makeConfigComponents,
  makeDiscoveryComponents,
  makeNodeServices,
  makeRoutingComponents,
} from "./node_components.ts";
import type { PlainService } from "./plain_service.ts";

/** Assembles, starts and stops the components of a node; has no listeners. */
export class FleetNode {
  readonly membership: Membership;
  readonly endpointDirectory: EndpointDirectory;
  readonly owners: OwnerMap;
  readonly configRepository: ConfigReplica;
  readonly configSync: ConfigSync;
  readonly endpointOwner: EndpointOwner;
  readonly admissions: AdmissionClient;
  readonly chats: ChatDirectory;
  readonly budgetOwner: BudgetOwner;
  readonly budget: BudgetClient;
  readonly claims: IdempotentCallRunner;
  readonly orders: EndpointReconciler;
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
    const discovery = makeDiscoveryComponents(options);
    const config = makeConfigComponents(options, discovery);
    const routing = makeRoutingComponents(options, { ...discovery, ...config });
    const services = makeNodeServices(options, {
      ...discovery,
      ...config,
      ...routing,
    });
    this.membership = discovery.membership;
    this.endpointDirectory = discovery.directory;
    this.owners = discovery.owners;
    this.#poller = discovery.poller;
    this.#store = config.store;
    this.configRepository = config.configRepository;
    this.configSync = config.configSync;
    this.endpointOwner = routing.endpointOwner;
    this.admissions = routing.admissions;
    this.chats = routing.chats;
    this.budgetOwner = routing.budgetOwner;
    this.budget = routing.budget;
    this.claims = services.claims;
    this.chatService = services.chatService;
    this.plainService = services.plainService;
    this.orders = services.orders;
    this.#cacheMover = services.cacheMover;
  }

  /** Whether the load balancer may route callers to this node. */
  get ready(): boolean {
    return this.#started && !this.#stopping && this.configSync.synced;
  }

  /** Whether a planned shutdown has begun. */
  get stopping(): boolean {
    return this.#stopping;
  }

  /** Reads the vm list once, joins the fleet and starts all components. */
  async start(): Promise<void> {
    try {
      await this.#poller.poll();
    } catch (err) {
      this.#options.logger.warn(
        { err },
        "failed to read the vm list at startup",
      );
    }
    this.#poller.start();
    await this.membership.start();
    await this.configSync.start();
    this.endpointOwner.start();
    this.admissions.start();
    this.budget.start();
    this.orders.start();
    this.#started = true;
  }

  /** Announces that the node is leaving and hands over its chat directory. */
  async beginStop(): Promise<void> {
    if (this.#stopping) {
      return;
    }
    this.#stopping = true;
    await this.membership.leave();
    await this.chats.transferAll();
  }

  /** Closes all components; the caller drains requests in flight first. */
  async close(): Promise<void> {
    await this.#poller.close();
    this.#cacheMover.close();
    await this.orders.close();
    await this.claims.close();
    await this.budget.close();
    await this.admissions.close();
    await this.endpointOwner.close();
    await this.configSync.close();
    await this.membership.close();
    await this.#options.transport.close();
    await this.#store.close();
    await this.#options.vmList.close();
    await this.#options.client.close();
  }
}
