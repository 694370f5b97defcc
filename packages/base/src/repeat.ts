import type { Clock } from "./clock.ts";
import { sleep } from "./sleep.ts";

/** A running loop; `close` stops it and waits for the current round. */
export interface Repeating {
  close(): Promise<void>;
}

/** Options of {@linkcode repeat}. */
export interface RepeatOptions {
  /** Milliseconds between the end of a round and the start of the next. */
  everyMs: number;
  /** Receives what a round threw; the loop goes on. */
  onError: (err: unknown) => void;
  /** Scales each pause; returns a factor near 1. */
  jitter?: () => number;
}

/** Runs `round` again and again until closed. */
export function repeat(
  clock: Clock,
  round: () => Promise<void> | void,
  { everyMs, onError, jitter = () => 1 }: RepeatOptions,
): Repeating {
  const stop = new AbortController();
  const task = (async () => {
    while (!stop.signal.aborted) {
      try {
        await round();
      } catch (err) {
        onError(err);
      }
      await sleep(clock, everyMs * jitter(), { signal: stop.signal });
    }
  })();
  return {
    close: async () => {
      stop.abort();
      await task;
    },
  };
}
