import type { peerpb } from "@limpetshed/peer";

/** Adds its own news to outgoing heartbeats and reads that of others. */
export interface HeartbeatContributor {
  /** Adds to a heartbeat about to be sent. */
  contribute(heartbeat: peerpb.Heartbeat): void;
  /** Reads a heartbeat that arrived. */
  absorb(heartbeat: peerpb.Heartbeat): void;
}
