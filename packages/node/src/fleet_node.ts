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
  makeConfigPart,
  makeServices,
  makeViewPart,
  makeWorkPart,
} from "./fleet_parts.ts";
import type { PlainService } from "./plain_service.ts";

/** One node of the fleet, without its listeners. */
export class FleetNode {
  readonly membership: Membership;
  readonly directory: EndpointDirectory;
  readonly owners: OwnerMap;
  readonly keeper: ConfigReplica;
  readonly spread: ConfigSync;
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
    const view = makeViewPart(options);
    const config = makeConfigPart(options, view);
    const work = makeWorkPart(options, { ...view, ...config });
    const services = makeServices(options, { ...view, ...config, ...work });
    this.membership = view.membership;
    this.directory = view.directory;
    this.owners = view.owners;
    this.#poller = view.poller;
    this.#store = config.store;
    this.keeper = config.keeper;
    this.spread = config.spread;
    this.endpointOwner = work.endpointOwner;
    this.admissions = work.admissions;
    this.chats = work.chats;
    this.budgetOwner = work.budgetOwner;
    this.budget = work.budget;
    this.claims = services.claims;
    this.chatService = services.chatService;
    this.plainService = services.plainService;
    this.orders = services.orders;
    this.#cacheMover = services.cacheMover;
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
    await this.chats.transferAll();
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
