import type { Clock } from "@limpetshed/base";
import type {
  ColdStartLimits,
  EndpointPolicy,
  ExposureLimits,
  RetryLimits,
} from "@limpetshed/dispatch";
import type { Logger } from "@limpetshed/observe";
import type { MachineLimits } from "./client_resources.ts";
import type { EndpointConnector } from "./endpoint_connector.ts";
import type { HelperTunnels } from "./helper_tunnels.ts";
import type { PolicyDependencies } from "./policy_dependencies.ts";
import type { RelayObserver } from "./relay_observer.ts";
import type { StateView } from "./state_view.ts";
import type { WireFormat } from "./wire_format.ts";

/** Options of {@linkcode RelayNode}. */
export interface RelayNodeOptions {
  clock: Clock;
  logger: Logger;
  nodeId: string;
  /** Ids of all nodes that may be running, including this one. */
  nodeIds: () => readonly string[];
  /** Time without a message from another node after which what it said last no
   * longer holds. */
  peerTimeoutMs: () => number;
  /** Whether demand and endpoints are uneven: then requests of services with fewer
   * slots than nodes are judged by the load of the whole service, and endpoints by
   * the speed that they report. False by default. */
  hasUnevenLoad?: boolean;
  /** What this node's machine has; bounds what is held for clients. */
  machine?: MachineLimits;
  format: WireFormat;
  observer: RelayObserver;
  /** How current this node's view of the shared state is; always current if
   * undefined. */
  view?: StateView;
  /** Opens connections to endpoints over this node's own links. */
  directConnector?: EndpointConnector;
  /** Opens connections by way of other nodes; there are none if undefined. */
  tunnels?: HelperTunnels;
  makePolicy: (dependencies: PolicyDependencies) => EndpointPolicy;
  retryLimits: RetryLimits;
  /** Slow requests of a service that may be sent a second time, as a share of its
   * requests, 0 to 1; none by default. */
  hedgedShare?: number;
  /** Limits on requests to a cold endpoint: one that has started recently and
   * cannot serve its full rate yet. */
  coldLimits: ColdStartLimits;
  /** Bounds on what the target of a rollout may get; none if undefined. */
  exposureLimits?: ExposureLimits;
  readinessPath: string;
  /** Returns a number in `[0, 1)`, drawn once per request to pick a weighted
   * target. */
  random: () => number;
}
