import { performance } from "node:perf_hooks";
import type { Clock, Timer } from "./clock.ts";

/** Longest delay of a Node.js timer, milliseconds; it fires at once for a longer
 * one. */
const MAX_TIMER_MS = 2 ** 31 - 1;

/** Clock backed by the system time and Node.js timers. */
export class SystemClock implements Clock {
  now(): Date {
    return new Date();
  }

  monotonicMs(): number {
    return performance.now();
  }

  setTimer(delayMs: number, fn: () => void): Timer {
    const handle = setTimeout(fn, Math.min(delayMs, MAX_TIMER_MS));
    return { cancel: () => clearTimeout(handle) };
  }
}
