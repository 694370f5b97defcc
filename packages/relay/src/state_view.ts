/** How current this node's view of the shared state is. */
export interface StateView {
  /** Latest monotonic time at which the view is known to have held the newest
   * state of the store. */
  confirmedMs: () => number;
  /** Confirms the view with the store. Resolves to true once it holds a state from
   * after the monotonic time `afterMs`, to false if that cannot be had; the view
   * is confirmed only by itself if undefined. */
  confirm?: (afterMs: number) => Promise<boolean>;
  /** Calls `fn` once the usual sources have confirmed the view after the monotonic
   * time `afterMs`, which costs the store nothing; the function that it returns
   * cancels that. The view is confirmed only on demand if undefined. */
  onceConfirmed?: (afterMs: number, fn: () => void) => () => void;
}

/** The view of a node whose state does not come from elsewhere. */
export const ALWAYS_CONFIRMED: StateView = {
  confirmedMs: () => Number.POSITIVE_INFINITY,
};
