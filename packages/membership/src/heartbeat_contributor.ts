import type { peerpb } from "@limpetshed/peer";

/** Piggybacks data on heartbeats. */
export interface HeartbeatContributor {
  /** Adds data to an outgoing heartbeat. */
  writeTo(heartbeat: peerpb.Heartbeat): void;
  /** Reads data from a received heartbeat. */
  readFrom(heartbeat: peerpb.Heartbeat): void;
}
