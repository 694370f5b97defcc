import type { CrashReport } from "@limpetshed/dispatch";
import { unflattenPairs } from "./flat_pairs.ts";

/** Follows the endpoint's key in the report of a cleared crash. */
const CLEARED = "ok";
/** Follows the ages in the report of a crash that ended a trial. */
const TRIAL = "trial";
const SEPARATOR = "~";

/**
 * Encodes crash reports for datagrams: alternating traits and the endpoint's key
 * followed by the ages of the request and of the crash, whole milliseconds, as in
 * `e1/1700000000000~850~120`, or as in `e1/1700000000000~850~120~trial`.
 */
export function encodeCrashReports(reports: readonly CrashReport[]): string[] {
  return reports.flatMap((report) => [
    report.trait,
    [
      report.endpoint,
      ...(report.kind === "cleared"
        ? [CLEARED]
        : [Math.round(report.sentAgeMs), Math.round(report.crashAgeMs)]),
      ...(report.kind === "crash" && report.isTrial ? [TRIAL] : []),
    ].join(SEPARATOR),
  ]);
}

/** Decodes crash reports received from another node. Nodes of earlier releases
 * send no ages. */
export function decodeCrashReports(flat: readonly string[]): CrashReport[] {
  return unflattenPairs(flat).map(([trait, text]) => {
    const [endpoint = "", sentAge, crashAge, trial] = text.split(SEPARATOR);
    return sentAge === CLEARED ? { kind: "cleared", trait, endpoint } : {
      kind: "crash",
      trait,
      endpoint,
      sentAgeMs: parseAge(sentAge),
      crashAgeMs: parseAge(crashAge),
      isTrial: trial === TRIAL,
    };
  });
}

function parseAge(text = "0"): number {
  return /^\d{1,9}$/.test(text) ? Number(text) : 0;
}
