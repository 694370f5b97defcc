import { performance } from "node:perf_hooks";
import type { Clock, Timer } from "./clock.ts";

/** Clock backed by the system time and Node.js timers. */
export class SystemClock implements Clock {
  now(): Date {
    return new Date();
  }

  monotonicMs(): number {
    return performance.now();
  }

  setTimer(delayMs: number, fn: () => void): Timer {
    const handle = setTimeout(fn, delayMs);
    return { cancel: () => clearTimeout(handle) };
  }
}
