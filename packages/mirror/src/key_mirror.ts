import type { ChangeBatch, KeyChange, Snapshot } from "./change_source.ts";

/** Called with each change applied to the mirror. */
export type MirrorListener = (change: KeyChange) => void;

/** Recent changes retained for nodes that follow this one; a follower that is
 * further behind gets a snapshot. */
const MAX_RETAINED_CHANGES = 2_000;

/**
 * A local replica of the watched keys, which can be updated from several
 * sources. Revisions are monotonic: a change at or below the revision already
 * applied for its key is ignored.
 */
export class KeyMirror {
  readonly #entries = new Map<string, KeyChange>();
  readonly #recentChanges: KeyChange[] = [];
  readonly #listeners: MirrorListener[] = [];
  readonly #waiters = new Set<() => void>();
  /** Changes at or below this revision are no longer retained. */
  #compactedRevision = 0;
  #asOf = 0;

  /** Revision up to which all changes are applied; 0 before the first read. */
  get asOf(): number {
    return this.#asOf;
  }

  /** Registers a listener for changes applied from now on. */
  onChange(listener: MirrorListener): void {
    this.#listeners.push(listener);
  }

  /** Applies an update from a source; ignores one older than the mirror. */
  apply(update: ChangeBatch | Snapshot): void {
    if (update.asOf < this.#asOf) {
      return;
    }
    if (update.kind === "snapshot") {
      this.#applySnapshot(update);
    } else {
      // Deleted keys keep no revision to compare with, so changes that the mirror
      // already covers are skipped here: an old write must not restore a key
      // whose later deletion was applied.
      update.changes
        .filter(({ revision }) => revision > this.#asOf)
        .forEach((change) => this.#applyChange(change));
    }
    this.#asOf = update.asOf;
    [...this.#waiters].forEach((notify) => notify());
  }

  /** Returns the changes after `revision`, or a snapshot if they are no longer
   * retained; no changes if `revision` is ahead of this mirror. */
  changesAfter(revision: number): ChangeBatch | Snapshot {
    if (revision < this.#compactedRevision) {
      const entries = [...this.#entries.values()];
      return { kind: "snapshot", entries, asOf: this.#asOf };
    }
    const changes = this.#recentChanges.filter((change) =>
      change.revision > revision
    );
    return { kind: "changes", changes, asOf: this.#asOf };
  }

  /** Resolves on the next update, or when `signal` aborts. */
  waitForUpdate(signal: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      const finish = () => {
        this.#waiters.delete(finish);
        signal.removeEventListener("abort", finish);
        resolve();
      };
      this.#waiters.add(finish);
      signal.addEventListener("abort", finish, { once: true });
      if (signal.aborted) {
        finish();
      }
    });
  }

  #applySnapshot({ entries, asOf }: Snapshot): void {
    const present = new Set(entries.map(({ key }) => key));
    for (const key of [...this.#entries.keys()]) {
      if (!present.has(key)) {
        this.#applyChange({ key, value: undefined, revision: asOf });
      }
    }
    entries.forEach((entry) => this.#applyChange(entry));
    this.#compactedRevision = asOf;
    this.#recentChanges.length = 0;
  }

  #applyChange(change: KeyChange): void {
    const current = this.#entries.get(change.key);
    if (change.revision <= (current?.revision ?? 0)) {
      return;
    }
    if (change.value === undefined) {
      this.#entries.delete(change.key);
    } else {
      this.#entries.set(change.key, change);
    }
    this.#recentChanges.push(change);
    if (this.#recentChanges.length > MAX_RETAINED_CHANGES) {
      this.#compactedRevision = this.#recentChanges.shift()!.revision;
    }
    for (const listener of this.#listeners) {
      listener(change);
    }
  }
}
