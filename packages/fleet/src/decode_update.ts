import {
  type ChangeBatch,
  isEra,
  type KeyChange,
  type Snapshot,
  type StorePosition,
  UNNAMED_ERA,
} from "@limpetshed/mirror";

/** Changes by which the store cannot move ahead between two calls. */
const MAX_REVISIONS_AHEAD = 1e9;
/** Eras that cannot begin between two calls. */
const MAX_ERAS_AHEAD = 1_000;

/**
 * Validates a shared-state update received from another node, after the position
 * `after`. Revision 0 stands for a node that knows no position yet.
 *
 * @throws Error if the value is not a valid update.
 */
export function decodeUpdate(
  value: unknown,
  { after }: { after: StorePosition },
): ChangeBatch | Snapshot {
  const { kind, era = UNNAMED_ERA, asOf, changes, entries } = asRecord(value);
  if (!isEra(era)) {
    throw invalidUpdateError("era is not a natural number");
  }
  if (!isRevision(asOf)) {
    throw invalidUpdateError("asOf is not a positive integer");
  }
  const update = { ...decodeBody({ kind, asOf, changes, entries }), era };
  const revisions =
    (update.kind === "changes" ? update.changes : update.entries)
      .map(({ revision }) => revision);
  const newest = revisions.reduce((a, b) => Math.max(a, b), asOf);
  const isTooFarAhead = era === after.era
    ? newest > after.revision + MAX_REVISIONS_AHEAD
    : era > after.era + MAX_ERAS_AHEAD;
  if (after.revision > 0 && isTooFarAhead) {
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
