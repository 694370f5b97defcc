/** A pending timer. */
export interface Timer {
  /** Cancels the timer; its callback is not called afterwards. Idempotent. */
  cancel(): void;
}

/**
 * Source of time and timers. Production code never reads the system time
 * directly, so that tests can control it.
 */
export interface Clock {
  /** Wall-clock time, which may jump; only for logs and stored records. */
  now(): Date;
  /** Monotonic time in milliseconds, used for all durations. */
  monotonicMs(): number;
  /** Calls `fn` once after `delayMs` milliseconds. */
  setTimer(delayMs: number, fn: () => void): Timer;
}
