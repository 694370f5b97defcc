import type {
  ColdStartLimits,
  ExposureLimits,
  RetryLimits,
} from "@limpetshed/dispatch";
import type { MachineLimits } from "@limpetshed/relay";

/** Startup settings of a fleet node. */
export interface FleetRelaySettings {
  nodeId: string;
  /** Unique to each start of a node. */
  incarnation: string;
  availabilityZone: string;
  /** Seed of the random number generator. */
  rngSeed: number;
  /** Addresses to listen on, each `ip:port`. */
  listen: {
    /** Client requests. */
    front: string;
    /** Readiness checks from the load balancer. */
    ready: string;
    /** HTTP calls from other nodes. */
    calls: string;
    /** Datagrams from other nodes. */
    datagrams: string;
    /** Metrics in text format; not served if undefined. */
    metrics?: string;
  };
  /** Addresses of a few nodes to contact at startup; may be stale. */
  seeds: readonly string[];
  /** Whether the whole fleet starts for the first time. */
  isFirstStart: boolean;
  /** Whether demand and endpoints are uneven: then requests of services with fewer
   * slots than nodes are judged by the load of the whole service, and endpoints by
   * the speed that they report. False by default. */
  hasUnevenLoad?: boolean;
  /** What the node's machine has; defaults if undefined. */
  machine?: MachineLimits;
  /** Grace period of a planned stop, milliseconds. */
  graceMs: number;
  /** Time for which a leaving endpoint still accepts requests, milliseconds; none
   * may be sent to it afterwards. */
  drainMs: number;
  /** Load bound of an endpoint, as a multiple of the mean load. */
  loadMultiple: number;
  retryLimits: RetryLimits;
  /** Slow requests of a service that may be sent a second time, as a share of its
   * requests, 0 to 1; none by default. */
  hedgedShare?: number;
  /** Limits on requests to a cold endpoint: one that has started recently and
   * cannot serve its full rate yet. */
  coldLimits: ColdStartLimits;
  /** Bounds on what the target of a rollout may get before it is known to be
   * good. */
  exposureLimits?: ExposureLimits;
  /** Time within which a change of shared state must be in force, milliseconds. */
  propagationMs: number;
}
