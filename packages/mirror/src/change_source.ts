import type { KeyClass } from "./key_class.ts";
import type { StorePosition } from "./store_position.ts";

/** A write or deletion of one key; `value` is undefined for a deletion. */
export interface KeyChange {
  key: string;
  value: string | undefined;
  /** Store-wide revision; increases with each change of any key within the era of
   * the update. */
  revision: number;
}

/** What an update covers, how old it is and who sent it. */
export interface UpdateProvenance {
  /** Era of all revisions of the update; `UNNAMED_ERA` if undefined. */
  era?: number;
  /** Name of the class of keys that the update is complete for; all keys if
   * undefined. */
  keyClass?: string;
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

/** All existing keys of what the update covers; sent for the first read and when the changes since a
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
   * Long-polls for changes after a position. Resolves with the changes, which
   * may be none once the source's wait timeout has passed, or with a snapshot of
   * all keys if the changes are no longer available or a later era has begun.
   * Rejects if the source is unreachable.
   */
  abstract waitForChanges(
    after: StorePosition,
    options: { signal: AbortSignal },
  ): Promise<ChangeBatch | Snapshot>;

  /**
   * Continues from a position after a failed call. By default reads all keys;
   * a source that reliably returns every change across outages overrides this
   * to read only the changes.
   */
  resume(
    _after: StorePosition,
    options: { signal: AbortSignal },
  ): Promise<ChangeBatch | Snapshot> {
    return this.readAll(options);
  }

  /** Reads all keys. Rejects if the source is unreachable. */
  abstract readAll(
    options: { signal: AbortSignal },
  ): Promise<ChangeBatch | Snapshot>;
}

/** Options of {@linkcode ChangeReader.read}. */
export interface ReadChangesOptions {
  /** The keys to read; all if undefined. */
  keyClass: KeyClass | undefined;
  /** Position up to which they are known. */
  after: StorePosition;
  signal: AbortSignal;
  /** Called for each part of the response that arrives. */
  onProgress: () => void;
}

/** Reads what has changed without waiting for a change. */
export interface ChangeReader {
  /** Resolves with a snapshot of all keys, whatever class is asked for, if a later
   * era than that of `after` has begun. Each call uses a connection on which no
   * other call waits. Rejects if the source is unreachable; has no time limit but
   * `signal`. */
  read(options: ReadChangesOptions): Promise<ChangeBatch | Snapshot>;
}
