import type { ColdStartLimits, RetryLimits } from "@limpetshed/dispatch";

/** What a fleet node is told at its start. */
export interface FleetRelaySettings {
  nodeId: string;
  /** Differs between starts of a node. */
  incarnation: string;
  availabilityZone: string;
  /** Seed of the random choices. */
  seed: number;
  /** Addresses, each `ip:port`. */
  listen: {
    /** Callers. */
    front: string;
    /** The balancer's questions. */
    ready: string;
    /** Calls of other nodes. */
    calls: string;
    /** Datagrams of other nodes. */
    datagrams: string;
    /** Metrics as text; nowhere if undefined. */
    metrics?: string;
  };
  /** Addresses of a few nodes; may be stale. */
  seeds: readonly string[];
  /** Whether the whole fleet starts for the first time. */
  isFirstStart: boolean;
  /** Time for a planned stop, milliseconds. */
  graceMs: number;
  /** Time after which a leaving endpoint may get no request, milliseconds. */
  drainMs: number;
  /** Multiple of the mean load that no endpoint may carry. */
  loadMultiple: number;
  retryLimits: RetryLimits;
  coldLimits: ColdStartLimits;
}
