import {
  AdmissionClient,
  CrashTracker,
  EndpointOwner,
} from "@limpetshed/admission";
import type { Clock } from "@limpetshed/base";
import { IdempotentCallRunner } from "@limpetshed/claims";
import { ConfigReplica, type ConfigSnapshot } from "@limpetshed/config";
import { ConfigSync } from "@limpetshed/config_spread";
import type { EndpointClient } from "@limpetshed/endpoint";
import type { Rng } from "@limpetshed/hashing";
import {
  EndpointDirectory,
  Membership,
  OwnerMap,
  VmListPoller,
} from "@limpetshed/membership";
import type { Logger, Metrics } from "@limpetshed/observe";
import { EndpointReconciler } from "@limpetshed/orders";
import type { PeerHandlers, PeerTransport } from "@limpetshed/peer";
import { ChatDirectory, type PlacementPolicy } from "@limpetshed/placement";
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

/** What a node knows of the fleet. */
export interface ViewPart {
  membership: Membership;
  directory: EndpointDirectory;
  owners: OwnerMap;
  poller: VmListPoller;
}

/** The configuration and the way to the store. */
export interface ConfigPart {
  store: StoreClient;
  keeper: ConfigReplica;
  spread: ConfigSync;
  config: () => ConfigSnapshot;
}

/** The roles that admit, remember and spend. */
export interface WorkPart {
  endpointOwner: EndpointOwner;
  admissions: AdmissionClient;
  chats: ChatDirectory;
  budgetOwner: BudgetOwner;
  budget: BudgetClient;
  placement: PlacementPolicy;
}

/** What answers callers, and what works beside them. */
export interface Services {
  claims: IdempotentCallRunner;
  chatService: ChatService;
  plainService: PlainService;
  orders: EndpointReconciler;
  cacheMover: CacheMover;
}

/** Makes membership, endpoint directory and ownership. */
export function makeViewPart(options: FleetNodeOptions): ViewPart {
  const { settings } = options;
  const membership = new Membership({
    ...options,
    self: {
      id: settings.node.id,
      address: options.address,
      region: settings.node.region,
      availabilityZone: settings.node.availability_zone,
    },
    heartbeatIntervalMs: settings.membership.heartbeat_interval,
    heartbeatTimeoutMs: settings.membership.heartbeat_timeout,
    suspicionTimeoutMs: settings.membership.suspect_timeout,
  });
  const directory = new EndpointDirectory();
  const owners = new OwnerMap({ membership });
  const poller = new VmListPoller({
    ...options,
    membership,
    directory,
    intervalMs: settings.platform.vm_list_interval,
  });
  return { membership, directory, owners, poller };
}

/** Makes the store's client and the configuration's keeper and spread. */
export function makeConfigPart(
  options: FleetNodeOptions,
  { membership }: ViewPart,
): ConfigPart {
  const store = new StoreClient({
    ...options,
    callsPerSecond: options.settings.platform.store_calls_per_second,
  });
  const keeper = new ConfigReplica({ ...options, store });
  const spread = new ConfigSync({
    ...options,
    store,
    replica: keeper,
    membership,
  });
  return { store, keeper, spread, config: () => keeper.snapshot };
}

/** Makes admission, chat directory, budgets and placement. */
export function makeWorkPart(
  options: FleetNodeOptions,
  parts: ViewPart & ConfigPart,
): WorkPart {
  const { routing } = options.settings;
  const { membership, config, spread } = parts;
  const shared = { ...options, ...parts };
  const crashes = new CrashTracker({ ...options, membership });
  const endpointOwner = new EndpointOwner({ ...shared, crashes });
  const admissions = new AdmissionClient({
    ...shared,
    localOwner: endpointOwner,
    timeoutMs: routing.admission_timeout,
    onConfigVersion: (address, version) =>
      spread.onPeerVersion(address, version),
  });
  const chats = new ChatDirectory({
    ...shared,
    crashes,
    maxEntries: routing.directory_entries,
  });
  const budgetOwner = new BudgetOwner({
    ...shared,
    shareOf: (member) => config().member(member),
  });
  const budget = new BudgetClient({ ...shared, local: budgetOwner });
  const placement = makePlacement(routing.policy, {
    ...shared,
    chats,
    admissions,
  });
  return { endpointOwner, admissions, chats, budgetOwner, budget, placement };
}

/** Makes the services for callers, orders and the moving of caches. */
export function makeServices(
  options: FleetNodeOptions,
  parts: ViewPart & ConfigPart & WorkPart,
): Services {
  const { limits, routing, node } = options.settings;
  const shared = { ...options, ...parts };
  const retries = new RetryBudget({ ratio: routing.retry_budget });
  const queueTimeoutMs = limits.queue_timeout;
  const places = new PlaceFinder({
    ...shared,
    queue: new MemberQueue({
      ...options,
      maxPerMember: limits.max_queue_per_member,
    }),
    queueTimeoutMs,
  });
  const claims = new IdempotentCallRunner(shared);
  return {
    claims,
    chatService: new ChatService({ ...shared, places, retries }),
    plainService: new PlainService({
      ...shared,
      retries,
      claims,
      maxBodyBytes: limits.max_body,
      queueTimeoutMs,
    }),
    orders: new EndpointReconciler({
      ...shared,
      nodeId: node.id,
      targets: () => orderTargets(parts.endpointOwner),
    }),
    cacheMover: new CacheMover(shared),
  };
}

/** The owned endpoints that have reported. */
function orderTargets(endpointOwner: EndpointOwner) {
  return endpointOwner.owned().flatMap(({ info, monitor }) =>
    monitor.report === undefined ? [] : [{ info, report: monitor.report }]
  );
}
