import type { PeerDirectory } from "@limpetshed/fleet";
import type { MirrorFollower } from "@limpetshed/mirror";
import type { RelayMetrics } from "@limpetshed/observe";
import type { RelayNode } from "@limpetshed/relay";

/** State of a node that its gauges show. */
export interface GaugeSources {
  node: RelayNode;
  directory: PeerDirectory;
  /** Followers of shared state, by the name of their source. */
  followers: Readonly<Record<string, MirrorFollower>>;
  stateRevision: number;
  /** Time since the shared state was confirmed as current; may be infinite. */
  stateAgeMs: number;
  droppedLogLines: number;
}

/** Sets the gauges of a node to its current state. */
export function updateGauges(
  metrics: RelayMetrics,
  { node, directory, followers, stateRevision, stateAgeMs, droppedLogLines }:
    GaugeSources,
): void {
  metrics.gauge("limpetshed_log_lines_dropped", droppedLogLines);
  metrics.gauge("limpetshed_in_flight", node.inFlight);
  metrics.gauge("limpetshed_config_version", node.config.version);
  metrics.gauge("limpetshed_state_revision", stateRevision);
  if (Number.isFinite(stateAgeMs)) {
    metrics.gauge("limpetshed_state_age_seconds", stateAgeMs / 1_000);
  }
  metrics.gauge("limpetshed_nodes", directory.nodeIds().length);
  const { inForce } = node.endpointLimiter.limits;
  metrics.gauges("limpetshed_endpoint_limit", "endpoint", inForce);
  const { refusedTraits } = node.crashSuspects;
  metrics.gauge("limpetshed_refused_traits", refusedTraits.length);
  const { cutAddresses } = node.endpointLinks.paths;
  metrics.gauge("limpetshed_cut_paths", cutAddresses.length);
  for (const [source, follower] of Object.entries(followers)) {
    const value = follower.isReachable ? 1 : 0;
    metrics.gauge("limpetshed_source_reachable", value, { source });
  }
}
