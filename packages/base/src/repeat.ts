import type { Clock } from "./clock.ts";
import { sleep } from "./sleep.ts";

/** A periodic task; `close` stops it and waits for the current run. */
export interface RepeatingTask {
  close(): Promise<void>;
}

/** Options of {@linkcode repeat}. */
export interface RepeatOptions {
  /** Delay between the end of a run and the start of the next one. */
  intervalMs: number;
  /** Called with the error of a failed run; the task continues. */
  onError: (err: unknown) => void;
  /** Returns the factor, close to 1, by which the next delay is scaled. */
  jitter?: () => number;
}

/** Calls `run` immediately and then periodically until closed. */
export function repeat(
  clock: Clock,
  run: () => Promise<void> | void,
  { intervalMs, onError, jitter = () => 1 }: RepeatOptions,
): RepeatingTask {
  const controller = new AbortController();
  const loop = (async () => {
    while (!controller.signal.aborted) {
      try {
        await run();
      } catch (err) {
        onError(err);
      }
      await sleep(clock, intervalMs * jitter(), { signal: controller.signal });
    }
  })();
  return {
    close: async () => {
      controller.abort();
      await loop;
    },
  };
}
