import type { CrashReport } from "./crash_report.ts";

/** A report that waits to be sent. */
export interface QueuedReport {
  kind: CrashReport["kind"];
  trait: string;
  /** Key of the endpoint. */
  endpoint: string;
  /** Number of crashes known of the trait. */
  crashCount: number;
  /** Time from the start of sending to the crash, milliseconds; 0 if the crash
   * was cleared. */
  runMs: number;
  /** Makes the report, with ages as of `nowMs`. */
  make: (nowMs: number) => CrashReport;
}

/** Reports of one broadcast round. */
const MAX_REPORTS_PER_ROUND = 128;
/** Reports of several full endpoints, 128 requests each with their parts; an entry
 * takes about 300 bytes. */
const MAX_REPORTS = 4_096;

/**
 * Crash reports for the next broadcast rounds. Those of traits with more crashes
 * go first, then those of requests that ran for the shortest time, since an
 * endpoint crashes soon after it begins to run the request that is the reason. The
 * others wait for later rounds.
 */
export class CrashReportQueue {
  /** By kind-independent key, so that a later report replaces an earlier one. */
  readonly #reports = new Map<string, QueuedReport>();
  #dropped = 0;

  /** Adds a report, in place of any other of the same trait and endpoint. */
  add(report: QueuedReport): void {
    this.#reports.set(`${report.trait} ${report.endpoint}`, report);
    if (this.#reports.size > 2 * MAX_REPORTS) {
      this.#dropExcess();
    }
  }

  /** Removes the reports of the next round; returns functions that make them. */
  takeRound(): QueuedReport["make"][] {
    if (this.#reports.size > MAX_REPORTS) {
      this.#dropExcess();
    }
    const round = this.#inOrder().slice(0, MAX_REPORTS_PER_ROUND);
    round.forEach(([key]) => this.#reports.delete(key));
    return round.map(([, { make }]) => make);
  }

  /** Returns the number of reports dropped since the last call. */
  takeDropped(): number {
    const dropped = this.#dropped;
    this.#dropped = 0;
    return dropped;
  }

  #inOrder(): [string, QueuedReport][] {
    return [...this.#reports].sort(([, a], [, b]) =>
      b.crashCount - a.crashCount || a.runMs - b.runMs
    );
  }

  #dropExcess(): void {
    const excess = this.#inOrder().slice(MAX_REPORTS);
    excess.forEach(([key]) => this.#reports.delete(key));
    this.#dropped += excess.length;
  }
}
