/** Pause between rounds of datagrams, milliseconds. A short chat takes a
 * second, so load figures a fifth of that old are still useful for routing. */
export const ROUND_INTERVAL_MS = 200;

/** Peers addressed in one round, round-robin if more, so that the traffic of
 * a node does not grow with the fleet: 50 datagrams a second of some 150 bytes
 * are two thirds of the target for control traffic. */
export const FANOUT = 10;

/** Number of rounds needed to send to each of `peers` other nodes. */
export function roundsToReachAll(peers: number): number {
  return Math.max(1, Math.ceil(peers / FANOUT));
}
