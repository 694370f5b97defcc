import type { Clock } from "./clock.ts";

/**
 * Settles as `work` does, or rejects with the error from `onTimeout` once
 * `ms` milliseconds have passed. The work itself is not stopped.
 */
export function withTimeout<T>(
  clock: Clock,
  work: Promise<T>,
  { ms, onTimeout }: { ms: number; onTimeout: () => Error },
): Promise<T> {
  return new Promise((resolve, reject) => {
    const timer = clock.setTimer(ms, () => reject(onTimeout()));
    work.then(
      (value) => {
        timer.cancel();
        resolve(value);
      },
      (err: unknown) => {
        timer.cancel();
        reject(err instanceof Error ? err : new Error(String(err)));
      },
    );
  });
}
