/** Interval between broadcast rounds, milliseconds. Short chat requests take a
 * second, so load figures that are 200 ms old are still useful for routing. */
export const ROUND_INTERVAL_MS = 200;

/** Maximum number of peers that a node sends to in one round; larger fleets are
 * covered round-robin, so that the traffic of a node does not grow with the
 * fleet. 50 datagrams a second of some 150 bytes, 7.5 kB/s, are two thirds of
 * the target for the control traffic of a node. */
export const FANOUT = 10;

/** Number of rounds needed to send to each of `peers` other nodes. */
export function roundsToReachAll(peers: number): number {
  return Math.max(1, Math.ceil(peers / FANOUT));
}
