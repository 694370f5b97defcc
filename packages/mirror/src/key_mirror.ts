import type { ChangeBatch, KeyChange, Snapshot } from "./change_source.ts";

/** How a change reached this node. */
export interface ChangeOrigin {
  /** `ip:port` of the node that sent it; undefined if the store did. */
  sender: string | undefined;
  /** Upper bound of the time since the change happened, milliseconds; infinite
   * for the first state of this node. */
  maxAgeMs: number;
}

/** When an update was received and how current it was, as monotonic times of
 * this node. */
export interface UpdateTimes {
  receivedMs: number;
  /** Time at which the store held the state of the update as its newest. */
  confirmedMs: number;
}

/** Called with each change applied to the mirror. */
export type MirrorListener = (change: KeyChange, origin: ChangeOrigin) => void;

const UNKNOWN_TIMES: UpdateTimes = {
  receivedMs: Number.POSITIVE_INFINITY,
  confirmedMs: Number.NEGATIVE_INFINITY,
};

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
  #confirmedMs = Number.NEGATIVE_INFINITY;

  /** Revision up to which all changes are applied; 0 before the first read. */
  get asOf(): number {
    return this.#asOf;
  }

  /** Latest monotonic time at which the mirror is known to have held the newest
   * state of the store; negative infinity before the first read. */
  get confirmedMs(): number {
    return this.#confirmedMs;
  }

  /** Registers a listener for changes applied from now on. */
  onChange(listener: MirrorListener): void {
    this.#listeners.push(listener);
  }

  /** Applies an update from a source; ignores one older than the mirror. Without
   * `times` the update says nothing about how current the mirror is. */
  apply(
    update: ChangeBatch | Snapshot,
    { receivedMs, confirmedMs }: UpdateTimes = UNKNOWN_TIMES,
  ): void {
    if (update.asOf < this.#asOf) {
      return;
    }
    const origin: ChangeOrigin = {
      sender: update.sender,
      // The mirror was complete then, so the changes that it lacks came later.
      maxAgeMs: receivedMs - this.#confirmedMs,
    };
    if (update.kind === "snapshot") {
      this.#applySnapshot(update, origin);
    } else {
      // Deleted keys keep no revision to compare with, so changes that the mirror
      // already covers are skipped here: an old write must not restore a key
      // whose later deletion was applied.
      update.changes
        .filter(({ revision }) => revision > this.#asOf)
        .forEach((change) => this.#applyChange(change, origin));
    }
    this.#asOf = update.asOf;
    this.#confirmedMs = Math.max(this.#confirmedMs, confirmedMs);
    [...this.#waiters].forEach((notify) => notify());
  }

  /** Returns the latest change of each key after `revision`, or a snapshot if they
   * are no longer retained; no changes if `revision` is ahead of this mirror. */
  changesAfter(revision: number): ChangeBatch | Snapshot {
    if (revision < this.#compactedRevision) {
      const entries = [...this.#entries.values()];
      return { kind: "snapshot", entries, asOf: this.#asOf };
    }
    const latestByKey = new Map<string, KeyChange>();
    for (const change of this.#recentChanges) {
      if (change.revision > revision) {
        // Removed first, so that the map stays in the order of revisions.
        latestByKey.delete(change.key);
        latestByKey.set(change.key, change);
      }
    }
    const changes = [...latestByKey.values()];
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

  #applySnapshot({ entries, asOf }: Snapshot, origin: ChangeOrigin): void {
    const present = new Set(entries.map(({ key }) => key));
    for (const key of [...this.#entries.keys()]) {
      if (!present.has(key)) {
        this.#applyChange({ key, value: undefined, revision: asOf }, origin);
      }
    }
    entries.forEach((entry) => this.#applyChange(entry, origin));
    this.#compactedRevision = asOf;
    this.#recentChanges.length = 0;
  }

  #applyChange(change: KeyChange, origin: ChangeOrigin): void {
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
      listener(change, origin);
    }
  }
}
