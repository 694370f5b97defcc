/** A pending timer; `cancel` is safe to call more than once. */
export interface Timer {
  /** Stops the timer; its callback is not called afterwards. */
  cancel(): void;
}

/**
 * Source of time. Product code never reads the system's time directly, so
 * that tests can drive it.
 */
export interface Clock {
  /** Wall-clock time; may jump. Only for logs and stored records. */
  now(): Date;
  /** Milliseconds on a clock that never goes back. For all durations. */
  monotonicMs(): number;
  /** Calls `fn` once, `delayMs` milliseconds from now. */
  setTimer(delayMs: number, fn: () => void): Timer;
}
