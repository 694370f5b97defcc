import type { Clock } from "./clock.ts";

/**
 * Resolves after `ms` milliseconds, or earlier if `signal` is aborted. Never
 * rejects, so callers must check the signal.
 */
export function sleep(
  clock: Clock,
  ms: number,
  { signal }: { signal?: AbortSignal } = {},
): Promise<void> {
  return new Promise((resolve) => {
    if (signal?.aborted === true) {
      resolve();
      return;
    }
    const finish = () => {
      timer.cancel();
      signal?.removeEventListener("abort", finish);
      resolve();
    };
    const timer = clock.setTimer(ms, finish);
    signal?.addEventListener("abort", finish, { once: true });
  });
}
