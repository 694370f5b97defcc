import type { PeerDirectory } from "@limpetshed/fleet";
import type { RelayMetrics } from "@limpetshed/observe";
import type { RelayNode } from "@limpetshed/relay";
import type { StateReplica } from "./state_replica.ts";

/** State of a node that its gauges show. */
export interface GaugeSources {
  node: RelayNode;
  directory: PeerDirectory;
  state: StateReplica;
  droppedLogLines: number;
}

/** Sets the gauges of a node to its current state. */
export function updateGauges(
  metrics: RelayMetrics,
  { node, directory, state, droppedLogLines }: GaugeSources,
): void {
  metrics.gauge("limpetshed_log_lines_dropped", droppedLogLines);
  metrics.gauge("limpetshed_in_flight", node.inFlight);
  const { memory, connections } = node.clientResources;
  metrics.gauge("limpetshed_held_bytes", memory.heldBytes);
  metrics.gauge("limpetshed_memory_evictions", memory.evictionCount);
  metrics.gauge("limpetshed_client_connections", connections.openCount);
  metrics.gauge("limpetshed_connections_shed", connections.shedCount);
  metrics.gauge("limpetshed_config_version", node.config.version);
  metrics.gauge("limpetshed_state_revision", state.mirror.asOf);
  metrics.gauge("limpetshed_store_era", state.mirror.era);
  for (const { name, ageMs } of state.classAges()) {
    if (Number.isFinite(ageMs)) {
      const labels = { keys: name };
      metrics.gauge("limpetshed_state_age_seconds", ageMs / 1_000, labels);
    }
  }
  metrics.gauge("limpetshed_nodes", directory.nodeIds().length);
  const { inForce } = node.endpointLimiter.limits;
  metrics.gauges("limpetshed_endpoint_limit", "endpoint", inForce);
  const { lasting } = node.endpointLoads.speeds;
  metrics.gauges("limpetshed_endpoint_slowness", "endpoint", lasting);
  metrics.gauge("limpetshed_resting_endpoints", node.rests.restingCount);
  const { refusedTraits } = node.crashSuspects;
  metrics.gauge("limpetshed_refused_traits", refusedTraits.length);
  const { cutAddresses } = node.endpointLinks.paths;
  metrics.gauge("limpetshed_cut_paths", cutAddresses.length);
  for (const [source, follower] of Object.entries(state.followers)) {
    const value = follower.isReachable ? 1 : 0;
    metrics.gauge("limpetshed_source_reachable", value, { source });
  }
}
