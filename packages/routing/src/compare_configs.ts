import type { RoutingConfig } from "./routing_config.ts";

/** A difference between two configurations. */
export interface ConfigChange {
  change: "added" | "removed" | "changed";
  /** What changed, such as `route NAME` or `limits`. */
  subject: string;
  /** Names of the fields that changed. */
  fields: string[];
}

type Entry = object & { name: string };

/** Returns what differs in `next`, by name of the entries; their order is not
 * compared. Values, API keys among them, are not shown. */
export function compareConfigs(
  current: RoutingConfig,
  next: RoutingConfig,
): ConfigChange[] {
  return [
    ...compareEntries("route", current.routes, next.routes),
    ...compareEntries("service", current.services, next.services),
    ...compareEntries(
      "client account",
      current.accounts ?? [],
      next.accounts ?? [],
    ),
    ...compareKeyRequirement(current, next),
    ...compareLimits(current, next),
  ];
}

function compareKeyRequirement(
  current: RoutingConfig,
  next: RoutingConfig,
): ConfigChange[] {
  const isRequired = next.accounts !== undefined;
  return isRequired === (current.accounts !== undefined) ? [] : [{
    change: isRequired ? "added" : "removed",
    subject: "need of API keys",
    fields: [],
  }];
}

function compareLimits(
  current: RoutingConfig,
  next: RoutingConfig,
): ConfigChange[] {
  const fields = changedFields(current.limits, next.limits);
  return fields.length === 0
    ? []
    : [{ change: "changed", subject: "limits", fields }];
}

function compareEntries(
  kind: string,
  current: readonly Entry[],
  next: readonly Entry[],
): ConfigChange[] {
  const before = new Map(current.map((entry) => [entry.name, entry]));
  const after = new Map(next.map((entry) => [entry.name, entry]));
  const changes: ConfigChange[] = [];
  for (const [name, entry] of after) {
    const subject = `${kind} ${name}`;
    const old = before.get(name);
    if (old === undefined) {
      changes.push({ change: "added", subject, fields: [] });
      continue;
    }
    const fields = changedFields(old, entry);
    if (fields.length > 0) {
      changes.push({ change: "changed", subject, fields });
    }
  }
  for (const name of before.keys()) {
    if (!after.has(name)) {
      changes.push({
        change: "removed",
        subject: `${kind} ${name}`,
        fields: [],
      });
    }
  }
  return changes;
}

function changedFields(before: object, after: object): string[] {
  const old = new Map(Object.entries(before));
  const names = new Set([...old.keys(), ...Object.keys(after)]);
  const now = new Map(Object.entries(after));
  return [...names].filter((name) =>
    JSON.stringify(old.get(name)) !== JSON.stringify(now.get(name))
  );
}
