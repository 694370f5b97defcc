import type { Clock, Timer } from "./clock.ts";
import { sharedWakeUpMs } from "./shared_wake_up.ts";

/** A periodic task; `close` stops it and waits for the current run. */
export interface RepeatingTask {
  close(): Promise<void>;
}

/** Options of {@linkcode repeat}. */
export interface RepeatOptions {
  /** Delay between the end of a run and the start of the next one, but for the
   * time to the next shared wake-up. */
  intervalMs: number;
  /** Called with the error of a failed run; the task continues. */
  onError: (err: unknown) => void;
  /** Returns the factor, close to 1, by which the next delay is scaled. */
  jitter?: () => number;
}

/** Calls `run` immediately and then periodically until closed. A run that is not
 * asynchronous costs a timer and no promise: nodes have many that find nothing to
 * do. */
export function repeat(
  clock: Clock,
  run: () => Promise<void> | void,
  { intervalMs, onError, jitter = () => 1 }: RepeatOptions,
): RepeatingTask {
  let timer: Timer | undefined;
  let isClosed = false;
  let currentRun = Promise.resolve();
  const schedule = () => {
    if (!isClosed) {
      timer = clock.setTimer(
        sharedWakeUpMs(clock, intervalMs * jitter()),
        start,
      );
    }
  };
  const start = () => {
    try {
      const running = run();
      if (running !== undefined) {
        currentRun = running.catch(onError).then(schedule);
        return;
      }
    } catch (err) {
      onError(err);
    }
    schedule();
  };
  start();
  return {
    close: async () => {
      isClosed = true;
      timer?.cancel();
      await currentRun;
    },
  };
}
