import type { Clock } from "@limpetshed/base";

/** Options of {@linkcode LogRateLimiter}. */
export interface LogRateLimiterOptions {
  clock: Clock;
  /** Maximum lines per second for each event. */
  linesPerS?: number;
}

/** Enough to diagnose a kind of failure at a negligible cost compared with
 * request handling. */
const DEFAULT_LINES_PER_S = 20;
const WINDOW_MS = 1_000;

interface RateWindow {
  startMs: number;
  lines: number;
  suppressed: number;
}

/** Rate-limits log lines per event and counts the suppressed ones. */
export class LogRateLimiter {
  readonly #clock: Clock;
  readonly #linesPerS: number;
  readonly #windows = new Map<string, RateWindow>();

  constructor(
    { clock, linesPerS = DEFAULT_LINES_PER_S }: LogRateLimiterOptions,
  ) {
    this.#clock = clock;
    this.#linesPerS = linesPerS;
  }

  /**
   * Requests permission to log one line of `event`. Returns undefined if the
   * line must be suppressed, otherwise the number of lines suppressed since the
   * last permitted one.
   */
  tryAcquire(event: string): number | undefined {
    const now = this.#clock.monotonicMs();
    let window = this.#windows.get(event);
    if (window === undefined) {
      window = { startMs: now, lines: 0, suppressed: 0 };
      this.#windows.set(event, window);
    }
    if (now - window.startMs >= WINDOW_MS) {
      window.startMs = now;
      window.lines = 0;
    }
    if (window.lines >= this.#linesPerS) {
      window.suppressed += 1;
      return undefined;
    }
    window.lines += 1;
    const { suppressed } = window;
    window.suppressed = 0;
    return suppressed;
  }
}
