import type { Clock } from "./clock.ts";

/**
 * Settles like `work`, or rejects with the error from `onTimeout` after `ms`
 * milliseconds. The work itself is not cancelled.
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
