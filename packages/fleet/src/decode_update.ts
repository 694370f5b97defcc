import type { ChangeBatch, KeyChange, Snapshot } from "@limpetshed/mirror";

/** Changes by which the store cannot move ahead between two calls. */
const MAX_REVISIONS_AHEAD = 1e9;

/**
 * Validates a shared-state update received from another node, after revision
 * `after`. 0 stands for a node that knows no revision yet.
 *
 * @throws Error if the value is not a valid update.
 */
export function decodeUpdate(
  value: unknown,
  { after }: { after: number },
): ChangeBatch | Snapshot {
  const { kind, asOf, changes, entries } = asRecord(value);
  if (!isRevision(asOf)) {
    throw invalidUpdateError("asOf is not a positive integer");
  }
  const update = decodeBody({ kind, asOf, changes, entries });
  const revisions =
    (update.kind === "changes" ? update.changes : update.entries)
      .map(({ revision }) => revision);
  const newest = revisions.reduce((a, b) => Math.max(a, b), asOf);
  if (after > 0 && newest > after + MAX_REVISIONS_AHEAD) {
    throw invalidUpdateError("it is further ahead than the store can be");
  }
  return update;
}

function decodeBody(
  { kind, asOf, changes, entries }: {
    kind: unknown;
    asOf: number;
    changes: unknown;
    entries: unknown;
  },
): ChangeBatch | Snapshot {
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
