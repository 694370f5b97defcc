import type { ChangeBatch, KeyChange, Snapshot } from "./change_source.ts";
import { ALL_KEYS, findKeyClass, type KeyClass } from "./key_class.ts";

/** How a change reached this node. */
export interface ChangeOrigin {
  /** `ip:port` of the node that sent it; undefined if the store did. */
  sender: string | undefined;
  /** Name of the class of its key. */
  keyClass: string;
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

/** Called when an update confirms a class of keys, also without a change.
 * `ageMs` is the time since the class was confirmed before, `receivedMs` the
 * monotonic time of the update. */
export type ConfirmationListener = (
  confirmation: { keyClass: KeyClass; ageMs: number; receivedMs: number },
) => void;

/** How far a class of keys is known. */
interface ClassState {
  readonly keyClass: KeyClass;
  /** Revision up to which all changes of the class are applied. */
  asOf: number;
  confirmedMs: number;
}

const UNKNOWN_TIMES: UpdateTimes = {
  receivedMs: Number.POSITIVE_INFINITY,
  confirmedMs: Number.NEGATIVE_INFINITY,
};

/** Recent changes retained for nodes that follow this one; a follower that is
 * further behind gets a snapshot. */
const MAX_RETAINED_CHANGES = 2_000;

/**
 * A local replica of the watched keys, which can be updated from several
 * sources, by class of keys or all at once. Revisions are monotonic in each
 * class: a change at or below the revision already applied is ignored.
 */
export class KeyMirror {
  readonly #classes: readonly KeyClass[];
  readonly #states: ReadonlyMap<string, ClassState>;
  readonly #entries = new Map<string, KeyChange>();
  readonly #recentChanges: KeyChange[] = [];
  readonly #listeners: MirrorListener[] = [];
  readonly #confirmationListeners: ConfirmationListener[] = [];
  readonly #waiters = new Set<() => void>();
  /** Changes at or below this revision are no longer retained. */
  #compactedRevision = 0;

  /** `classes` must cover all keys. */
  constructor(
    { classes = [ALL_KEYS] }: { classes?: readonly KeyClass[] } = {},
  ) {
    this.#classes = classes;
    this.#states = new Map(
      classes.map((keyClass): [string, ClassState] => [
        keyClass.name,
        { keyClass, asOf: 0, confirmedMs: Number.NEGATIVE_INFINITY },
      ]),
    );
  }

  /** The classes of keys that are told apart. */
  get classes(): readonly KeyClass[] {
    return this.#classes;
  }

  /** Revision up to which all changes are applied; 0 before the first read. */
  get asOf(): number {
    return Math.min(...[...this.#states.values()].map(({ asOf }) => asOf));
  }

  /** Latest monotonic time at which the mirror is known to have held the newest
   * state of the store; negative infinity before the first read. */
  get confirmedMs(): number {
    return Math.min(
      ...[...this.#states.values()].map(({ confirmedMs }) => confirmedMs),
    );
  }

  /** As `asOf`, of the keys of one class. */
  classAsOf({ name }: KeyClass): number {
    return this.#states.get(name)?.asOf ?? 0;
  }

  /** As `confirmedMs`, of the keys of one class. */
  classConfirmedMs({ name }: KeyClass): number {
    return this.#states.get(name)?.confirmedMs ?? Number.NEGATIVE_INFINITY;
  }

  /** Registers a listener for changes applied from now on. */
  onChange(listener: MirrorListener): void {
    this.#listeners.push(listener);
  }

  /** Registers a listener for confirmations from now on. It is called before
   * the changes of the update are applied. */
  onConfirmation(listener: ConfirmationListener): void {
    this.#confirmationListeners.push(listener);
  }

  /** Applies an update from a source to the classes that it covers and that are
   * not newer. Without `times` the update says nothing about how current the
   * mirror is. */
  apply(
    update: ChangeBatch | Snapshot,
    { receivedMs, confirmedMs }: UpdateTimes = UNKNOWN_TIMES,
  ): void {
    const updated = [...this.#states.values()].filter(({ keyClass, asOf }) =>
      update.asOf >= asOf &&
      (update.keyClass === undefined || update.keyClass === keyClass.name)
    );
    if (updated.length === 0) {
      return;
    }
    const origins = new Map<string, ChangeOrigin>();
    for (const { keyClass, confirmedMs: previousMs } of updated) {
      // The class was complete then, so the changes that it lacks came later.
      const ageMs = receivedMs - previousMs;
      origins.set(keyClass.name, {
        sender: update.sender,
        keyClass: keyClass.name,
        maxAgeMs: ageMs,
      });
      this.#confirmationListeners.forEach((listener) =>
        listener({ keyClass, ageMs, receivedMs })
      );
    }
    const originOf = (key: string) =>
      origins.get(findKeyClass(this.#classes, key)?.name ?? "");
    if (update.kind === "snapshot") {
      this.#applySnapshot(update, originOf);
    } else {
      for (const change of update.changes) {
        const origin = originOf(change.key);
        // Deleted keys keep no revision to compare with, so changes that the
        // mirror already covers are skipped here: an old write must not restore
        // a key whose later deletion was applied.
        if (
          origin !== undefined && change.revision > this.#asOfKey(change.key)
        ) {
          this.#applyChange(change, origin);
        }
      }
    }
    for (const state of updated) {
      state.asOf = update.asOf;
      state.confirmedMs = Math.max(state.confirmedMs, confirmedMs);
    }
    [...this.#waiters].forEach((notify) => notify());
  }

  /** Returns the latest change of each key after `revision` and up to `asOf`, or a
   * snapshot if they are no longer retained; no changes if `revision` is ahead
   * of this mirror. */
  changesAfter(revision: number): ChangeBatch | Snapshot {
    const { asOf } = this;
    if (revision < this.#compactedRevision) {
      const entries = [...this.#entries.values()];
      return { kind: "snapshot", entries, asOf };
    }
    const latestByKey = new Map<string, KeyChange>();
    for (const change of this.#recentChanges) {
      // Changes of a class that is ahead of `asOf` would let a receiver restore
      // a key by an older write that it gets elsewhere.
      if (change.revision > revision && change.revision <= asOf) {
        latestByKey.set(change.key, change);
      }
    }
    const changes = [...latestByKey.values()]
      .sort((a, b) => a.revision - b.revision);
    return { kind: "changes", changes, asOf };
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

  #asOfKey(key: string): number {
    const keyClass = findKeyClass(this.#classes, key);
    return keyClass === undefined ? 0 : this.classAsOf(keyClass);
  }

  /** Applies a snapshot to the keys for which `originOf` returns an origin. */
  #applySnapshot(
    { entries, asOf }: Snapshot,
    originOf: (key: string) => ChangeOrigin | undefined,
  ): void {
    const present = new Set(entries.map(({ key }) => key));
    for (const key of [...this.#entries.keys()]) {
      const origin = originOf(key);
      if (origin !== undefined && !present.has(key)) {
        this.#applyChange({ key, value: undefined, revision: asOf }, origin);
      }
    }
    for (const entry of entries) {
      const origin = originOf(entry.key);
      if (origin !== undefined) {
        this.#applyChange(entry, origin);
      }
    }
    this.#compactedRevision = Math.max(this.#compactedRevision, asOf);
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
      const { revision } = this.#recentChanges.shift()!;
      this.#compactedRevision = Math.max(this.#compactedRevision, revision);
    }
    for (const listener of this.#listeners) {
      listener(change, origin);
    }
  }
}
