/** A write or deletion of one key; `value` is undefined for a deletion. */
export interface KeyChange {
  key: string;
  value: string | undefined;
  /** Store-wide revision; increases with each change of any key. */
  revision: number;
}

/** How old an update is and who sent it. */
export interface UpdateProvenance {
  /** Time that has passed, at most, since the store held the state of the update
   * as its newest, milliseconds; over all nodes that passed the update on. 0 if
   * missing. */
  ageMs?: number;
  /** `ip:port` of the node that sent the update, if it was one. */
  sender?: string;
}

/** Changes after a given revision, in order. */
export interface ChangeBatch extends UpdateProvenance {
  kind: "changes";
  changes: readonly KeyChange[];
  /** Revision up to which the batch is complete. */
  asOf: number;
}

/** All existing keys; sent for the first read and when the changes since a
 * revision are no longer available. */
export interface Snapshot extends UpdateProvenance {
  kind: "snapshot";
  entries: readonly KeyChange[];
  /** Revision at which the snapshot was taken. */
  asOf: number;
}

/** Supplies the keys and changes that a mirror replicates. */
export abstract class ChangeSource {
  /** Source name used in logs. */
  abstract readonly name: string;

  /**
   * Long-polls for changes after `revision`. Resolves with the changes, which
   * may be none once the source's wait timeout has passed, or with a snapshot
   * if the changes are no longer available. Rejects if the source is
   * unreachable.
   */
  abstract waitForChanges(
    revision: number,
    options: { signal: AbortSignal },
  ): Promise<ChangeBatch | Snapshot>;

  /**
   * Continues from `revision` after a failed call. By default reads all keys;
   * a source that reliably returns every change across outages overrides this
   * to read only the changes.
   */
  resume(
    _revision: number,
    options: { signal: AbortSignal },
  ): Promise<ChangeBatch | Snapshot> {
    return this.readAll(options);
  }

  /** Reads all keys. Rejects if the source is unreachable. */
  abstract readAll(
    options: { signal: AbortSignal },
  ): Promise<ChangeBatch | Snapshot>;
}
