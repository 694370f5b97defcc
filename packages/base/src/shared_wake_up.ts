import type { Clock } from "./clock.ts";

/** Tasks that wait for at least so long wake the process at multiples of it. */
const SHARED_WAKE_UP_INTERVAL_MS = 100;

/**
 * Returns the delay nearest to `delayMs` that ends at a wake-up shared with other
 * tasks, or `delayMs` itself if it is shorter than the time between two of these.
 * Each wake-up costs more processor time than a task that finds nothing to do.
 */
export function sharedWakeUpMs(clock: Clock, delayMs: number): number {
  if (delayMs < SHARED_WAKE_UP_INTERVAL_MS) {
    return delayMs;
  }
  const now = clock.monotonicMs();
  const intervals = Math.round((now + delayMs) / SHARED_WAKE_UP_INTERVAL_MS);
  return intervals * SHARED_WAKE_UP_INTERVAL_MS - now;
}
