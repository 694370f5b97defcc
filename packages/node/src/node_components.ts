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

/** Dependencies of a node; tests pass fakes. */
export interface FleetNodeOptions {
  settings: Settings;
  /** Peer address at which other nodes reach this node. */
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

/** Fleet membership, endpoint discovery and endpoint ownership. */
export interface DiscoveryComponents {
  membership: Membership;
  directory: EndpointDirectory;
  owners: OwnerMap;
  poller: VmListPoller;
}

/** Store client, configuration and its synchronization between nodes. */
export interface ConfigComponents {
  store: StoreClient;
  configRepository: ConfigReplica;
  configSync: ConfigSync;
  config: () => ConfigSnapshot;
}

/** Admission, chat directory, member budgets and placement. */
export interface RoutingComponents {
  endpointOwner: EndpointOwner;
  admissions: AdmissionClient;
  chats: ChatDirectory;
  budgetOwner: BudgetOwner;
  budget: BudgetClient;
  placement: PlacementPolicy;
}

/** Services that handle callers' requests, and background services. */
export interface NodeServices {
  claims: IdempotentCallRunner;
  chatService: ChatService;
  plainService: PlainService;
  orders: EndpointReconciler;
  cacheMover: CacheMover;
}

/** Makes the membership, endpoint directory, owner map and vm list poller. */
export function makeDiscoveryComponents(
  options: FleetNodeOptions,
): DiscoveryComponents {
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

/** Makes the store client, configuration repository and configuration sync. */
export function makeConfigComponents(
  options: FleetNodeOptions,
  { membership }: DiscoveryComponents,
): ConfigComponents {
  const store = new StoreClient({
    ...options,
    callsPerSecond: options.settings.platform.store_calls_per_second,
  });
  const configRepository = new ConfigReplica({ ...options, store });
  const configSync = new ConfigSync({
    ...options,
    store,
    replica: configRepository,
    membership,
  });
  return {
    store,
    configRepository,
    configSync,
    config: () => configRepository.snapshot,
  };
}

/** Makes the admission roles, chat directory, budgets and placement policy. */
export function makeRoutingComponents(
  options: FleetNodeOptions,
  components: DiscoveryComponents & ConfigComponents,
): RoutingComponents {
  const { routing } = options.settings;
  const { membership, config, configSync } = components;
  const shared = { ...options, ...components };
  const crashes = new CrashTracker({ ...options, membership });
  const endpointOwner = new EndpointOwner({ ...shared, crashes });
  const admissions = new AdmissionClient({
    ...shared,
    localOwner: endpointOwner,
    timeoutMs: routing.admission_timeout,
    onConfigVersion: (address, version) =>
      configSync.onPeerVersion(address, version),
  });
  const chats = new ChatDirectory({
    ...shared,
    crashTracker: crashes,
    maxEntries: routing.directory_entries,
  });
  const budgetOwner = new BudgetOwner({
    ...shared,
    shareOf: (member) => config().member(member),
  });
  const budget = new BudgetClient({ ...shared, localOwner: budgetOwner });
  const placement = makePlacement(routing.policy, {
    ...shared,
    chats,
    admissions,
  });
  return { endpointOwner, admissions, chats, budgetOwner, budget, placement };
}

/** Makes the request services, the order sender and the cache mover. */
export function makeNodeServices(
  options: FleetNodeOptions,
  components: DiscoveryComponents & ConfigComponents & RoutingComponents,
): NodeServices {
  const { limits, routing, node } = options.settings;
  const shared = { ...options, ...components };
  const retryBudget = new RetryBudget({ ratio: routing.retry_budget });
  const queueTimeoutMs = limits.queue_timeout;
  const placeFinder = new PlaceFinder({
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
    chatService: new ChatService({
      ...shared,
      placeFinder,
      retryBudget,
    }),
    plainService: new PlainService({
      ...shared,
      retryBudget,
      claims,
      maxBodyBytes: limits.max_body,
      queueTimeoutMs,
    }),
    orders: new EndpointReconciler({
      ...shared,
      nodeId: node.id,
      targets: () => orderTargets(components.endpointOwner),
    }),
    cacheMover: new CacheMover(shared),
  };
}

/** Owned endpoints that have a load report. */
function orderTargets(endpointOwner: EndpointOwner) {
  return endpointOwner.owned().flatMap(({ info, monitor }) =>
    monitor.report === undefined ? [] : [{ info, report: monitor.report }]
  );
}
