/** Time given to each step on the way of a change from the store to the nodes,
 * milliseconds. */
export interface PropagationBudget {
  /** The whole way, from the acknowledgement of the change to the last request
   * that is sent as before. */
  totalMs: number;
  /** For how long an idle watch of the store waits. */
  watchWaitMs: number;
  /** For how long a node that has received changes gathers further ones before it
   * asks again. */
  gatherMs: number;
  /** Age of a node's state at which the node reads it from the store itself. */
  maxStateAgeMs: number;
  /** Time after which a call that is not answered gets another beside it. */
  callMs: number;
}

/** Below this, calls between machines would exceed their share, milliseconds. */
const MIN_TOTAL_MS = 500;

// See docs/design/propagation.md for the sum.
const WATCH_WAIT_SHARE = 0.25;
/** Once for the watcher, and for each of the three hops to followers. */
const GATHER_SHARE = 0.035;
const MAX_STATE_AGE_SHARE = 0.4;
const CALL_SHARE = 0.125;

/** Divides the time within which a change must be in force at every node,
 * milliseconds, among the steps of its way. */
export function makePropagationBudget(boundMs: number): PropagationBudget {
  const totalMs = Math.max(MIN_TOTAL_MS, boundMs);
  return {
    totalMs,
    watchWaitMs: Math.round(WATCH_WAIT_SHARE * totalMs),
    gatherMs: Math.round(GATHER_SHARE * totalMs),
    maxStateAgeMs: Math.round(MAX_STATE_AGE_SHARE * totalMs),
    callMs: Math.round(CALL_SHARE * totalMs),
  };
}
