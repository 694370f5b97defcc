import { performance } from "node:perf_hooks";
import type { Clock, Timer } from "./clock.ts";

/** The process's own clock. */
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
