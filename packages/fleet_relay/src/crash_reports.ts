import type { CrashReport } from "@limpetshed/dispatch";

/** Crash reports as they travel: fingerprints and endpoint keys in turn. */
export function flatReports(reports: readonly CrashReport[]): string[] {
  return reports.flatMap(({ fingerprint, endpoint }) => [
    fingerprint,
    endpoint,
  ]);
}

/** Crash reports from how they travel. */
export function crashReports(flat: readonly string[]): CrashReport[] {
  const reports: CrashReport[] = [];
  for (let at = 0; at + 1 < flat.length; at += 2) {
    reports.push({ fingerprint: flat[at]!, endpoint: flat[at + 1]! });
  }
  return reports;
}
