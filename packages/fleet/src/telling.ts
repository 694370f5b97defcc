/** Pause between rounds of datagrams, milliseconds. A short chat takes a
 * second, so that a figure a fifth of that old is worth deciding by. */
export const ROUND_MS = 200;

/** Nodes told in one round; with more, they take turns, so that the traffic of
 * a node does not grow with the fleet: 50 datagrams a second of some 150 bytes
 * are two thirds of what the target allows for control. */
export const FANOUT = 10;

/** Rounds that it takes to tell each of `peers` other nodes. */
export function roundsToTell(peers: number): number {
  return Math.max(1, Math.ceil(peers / FANOUT));
}
