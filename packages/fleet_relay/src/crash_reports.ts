import type { CrashReport } from "@limpetshed/dispatch";
import { flatPairs, pairsOf } from "./flat_pairs.ts";

/** Crash reports as they travel: fingerprints and endpoint keys in turn. */
export function flatReports(reports: readonly CrashReport[]): string[] {
  return flatPairs(reports, ["fingerprint", "endpoint"]);
}

/** Crash reports from how they travel. */
export function crashReports(flat: readonly string[]): CrashReport[] {
  return pairsOf(flat).map(([fingerprint, endpoint]) => ({
    fingerprint,
    endpoint,
  }));
}
