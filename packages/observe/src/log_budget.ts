import type { Clock } from "@limpetshed/base";

/** Options of {@linkcode LogBudget}. */
export interface LogBudgetOptions {
  clock: Clock;
  /** Lines of one event a second. */
  linesPerS?: number;
}

/** Lines of one event that a second may have; enough to see a kind of failure
 * and little beside the work itself. */
const LINES_PER_S = 20;
const WINDOW_MS = 1_000;

interface Window {
  sinceMs: number;
  lines: number;
  suppressed: number;
}

/** Bounds the lines of each event; what is left out is counted. */
export class LogBudget {
  readonly #clock: Clock;
  readonly #linesPerS: number;
  readonly #windows = new Map<string, Window>();

  constructor({ clock, linesPerS = LINES_PER_S }: LogBudgetOptions) {
    this.#clock = clock;
    this.#linesPerS = linesPerS;
  }

  /**
   * Takes a line of `event`. Undefined if it must be left out; else how many
   * were left out since the last one.
   */
  take(event: string): number | undefined {
    const now = this.#clock.monotonicMs();
    let window = this.#windows.get(event);
    if (window === undefined) {
      window = { sinceMs: now, lines: 0, suppressed: 0 };
      this.#windows.set(event, window);
    }
    if (now - window.sinceMs >= WINDOW_MS) {
      window.sinceMs = now;
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
