import type { ConfigFinding, ConfigPath } from "./config_finding.ts";

/** Returns an error for each value that an earlier entry has already. */
export function findDuplicates(
  values: readonly (readonly [value: string, path: ConfigPath])[],
  message: (value: string) => string,
): ConfigFinding[] {
  const seen = new Set<string>();
  const findings: ConfigFinding[] = [];
  for (const [value, path] of values) {
    if (seen.has(value)) {
      findings.push({ severity: "error", path, message: message(value) });
    }
    seen.add(value);
  }
  return findings;
}
