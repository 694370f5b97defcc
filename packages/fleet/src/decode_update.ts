import type { ChangeBatch, KeyChange, Snapshot } from "@limpetshed/mirror";

/**
 * Checks what another node says of shared state.
 *
 * @throws Error if it is not an update.
 */
export function decodeUpdate(value: unknown): ChangeBatch | Snapshot {
  const { kind, asOf, changes, entries } = asRecord(value);
  if (!isRevision(asOf)) {
    throw notAnUpdate("no revision");
  }
  switch (kind) {
    case "changes":
      return { kind, asOf, changes: keyChanges(changes) };
    case "snapshot":
      return { kind, asOf, entries: keyChanges(entries) };
    default:
      throw notAnUpdate("of an unknown kind");
  }
}

function keyChanges(value: unknown): KeyChange[] {
  if (!Array.isArray(value)) {
    throw notAnUpdate("no list of keys");
  }
  return value.map((item: unknown): KeyChange => {
    const { key, value: text, revision } = asRecord(item);
    if (
      typeof key !== "string" || !isRevision(revision) ||
      (text !== undefined && typeof text !== "string")
    ) {
      throw notAnUpdate("a key that cannot be read");
    }
    return { key, value: text, revision };
  });
}

function asRecord(value: unknown): Record<string, unknown> {
  if (typeof value !== "object" || value === null) {
    throw notAnUpdate("no object");
  }
  return value as Record<string, unknown>;
}

function isRevision(value: unknown): value is number {
  return Number.isSafeInteger(value) && (value as number) > 0;
}

function notAnUpdate(why: string): Error {
  return new Error(`the node did not answer with shared state: ${why}`);
}
