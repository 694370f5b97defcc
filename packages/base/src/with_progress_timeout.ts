import type { Clock } from "./clock.ts";

/** Limits of {@linkcode withProgressTimeout}. */
export interface ProgressTimeoutOptions {
  /** Longest time without progress, milliseconds. */
  idleMs: number;
  /** Longest time in all, milliseconds. */
  totalMs: number;
  onTimeout: () => Error;
}

/**
 * Settles like `work`, or rejects with the error from `onTimeout` once it has
 * made no progress for `idleMs`, or after `totalMs`. Lets a large transfer over
 * a slow link finish, and still ends one that stalls. The work itself is not
 * cancelled.
 */
export function withProgressTimeout<T>(
  clock: Clock,
  work: (onProgress: () => void) => Promise<T>,
  { idleMs, totalMs, onTimeout }: ProgressTimeoutOptions,
): Promise<T> {
  return new Promise((resolve, reject) => {
    const endMs = clock.monotonicMs() + totalMs;
    let lastProgressMs = clock.monotonicMs();
    const startTimer = () => {
      const expiryMs = Math.min(lastProgressMs + idleMs, endMs);
      return clock.setTimer(expiryMs - clock.monotonicMs(), checkProgress);
    };
    const checkProgress = () => {
      const now = clock.monotonicMs();
      if (now >= endMs || now - lastProgressMs >= idleMs) {
        reject(onTimeout());
      } else {
        timer = startTimer();
      }
    };
    let timer = startTimer();
    work(() => {
      lastProgressMs = clock.monotonicMs();
    }).then(
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
