/** One change of a key; `value` is undefined for a deletion. */
export interface KeyChange {
  key: string;
  value: string | undefined;
  /** Revision of the change; grows with every change of any key. */
  revision: number;
}

/** Changes after a revision, in order. */
export interface ChangeBatch {
  kind: "changes";
  changes: readonly KeyChange[];
  /** Revision up to which the changes are complete. */
  asOf: number;
}

/** Every key that exists, when the changes since a revision are not known. */
export interface Snapshot {
  kind: "snapshot";
  entries: readonly KeyChange[];
  asOf: number;
}

/** Where a mirror gets its keys from. */
export abstract class ChangeSource {
  /** Name for logs. */
  abstract readonly name: string;

  /**
   * Waits until something changed after `revision` or the source's own
   * waiting time is over, and returns the changes, or a snapshot if they are
   * no longer known. Rejects when the source cannot be reached.
   */
  abstract next(
    revision: number,
    options: { signal: AbortSignal },
  ): Promise<ChangeBatch | Snapshot>;

  /**
   * Goes on from `revision` after the source could not be reached: reads every
   * key, unless the source tells all changes whatever happened meanwhile.
   */
  resume(
    _revision: number,
    options: { signal: AbortSignal },
  ): Promise<ChangeBatch | Snapshot> {
    return this.readAll(options);
  }

  /** Reads every key. Rejects when the source cannot be reached. */
  abstract readAll(
    options: { signal: AbortSignal },
  ): Promise<ChangeBatch | Snapshot>;
}
