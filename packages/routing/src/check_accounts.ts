import type { ConfigFinding } from "./config_finding.ts";
import { findDuplicates } from "./find_duplicates.ts";
import type { RoutingConfig } from "./routing_config.ts";

/** Finds API keys that identify two client accounts, and accounts that no request
 * can belong to. */
export function checkAccounts(
  { accounts = [] }: RoutingConfig,
): ConfigFinding[] {
  const keys = accounts.flatMap(({ keys }, account) =>
    keys.map((key, index) =>
      [key, ["accounts", account, "keys", index]] as const
    )
  );
  const unusable = accounts.flatMap(({ name, keys }, index): ConfigFinding[] =>
    keys.length > 0 ? [] : [{
      severity: "warning",
      path: ["accounts", index, "keys"],
      message: `client account ${name} has no API key`,
    }]
  );
  return [
    // The message must not contain the key.
    ...findDuplicates(
      keys,
      () =>
        "another client account has this API key too; the last one gets its requests",
    ),
    ...findDuplicates(
      accounts.map(({ name }, index) => [name, ["accounts", index, "name"]]),
      (name) => `another client account is named ${name} too`,
    ),
    ...unusable,
  ];
}
