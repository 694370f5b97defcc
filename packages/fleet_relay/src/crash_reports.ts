import type { CrashReport } from "@limpetshed/dispatch";
import { flattenPairs, unflattenPairs } from "./flat_pairs.ts";

/** Encodes crash reports for datagrams: alternating fingerprints and endpoint
 * keys. */
export function encodeCrashReports(reports: readonly CrashReport[]): string[] {
  return flattenPairs(reports, ["fingerprint", "endpoint"]);
}

/** Decodes crash reports received from another node. */
export function decodeCrashReports(flat: readonly string[]): CrashReport[] {
  return unflattenPairs(flat).map(([fingerprint, endpoint]) => ({
    fingerprint,
    endpoint,
  }));
}
