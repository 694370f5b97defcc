import type { ChangeBatch, KeyChange, Snapshot } from "@limpetshed/mirror";

/**
 * Validates a shared-state update received from another node.
 *
 * @throws Error if the value is not a valid update.
 */
export function decodeUpdate(value: unknown): ChangeBatch | Snapshot {
  const { kind, asOf, changes, entries } = asRecord(value);
  if (!isRevision(asOf)) {
    throw invalidUpdateError("asOf is not a positive integer");
  }
  switch (kind) {
    case "changes":
      return { kind, asOf, changes: decodeKeyChanges(changes) };
    case "snapshot":
      return { kind, asOf, entries: decodeKeyChanges(entries) };
    default:
      throw invalidUpdateError("unknown kind");
  }
}

function decodeKeyChanges(value: unknown): KeyChange[] {
  if (!Array.isArray(value)) {
    throw invalidUpdateError("expected an array of key entries");
  }
  return value.map((item: unknown): KeyChange => {
    const { key, value: text, revision } = asRecord(item);
    if (
      typeof key !== "string" || !isRevision(revision) ||
      (text !== undefined && typeof text !== "string")
    ) {
      throw invalidUpdateError("malformed key entry");
    }
    return { key, value: text, revision };
  });
}

function asRecord(value: unknown): Record<string, unknown> {
  if (typeof value !== "object" || value === null) {
    throw invalidUpdateError("expected an object");
  }
  return value as Record<string, unknown>;
}

function isRevision(value: unknown): value is number {
  return Number.isSafeInteger(value) && (value as number) > 0;
}

function invalidUpdateError(detail: string): Error {
  return new Error(`invalid shared-state update from peer: ${detail}`);
}
