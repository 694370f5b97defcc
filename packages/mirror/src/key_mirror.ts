import type { ChangeBatch, KeyChange, Snapshot } from "./change_source.ts";
import { ALL_KEYS, findKeyClass, type KeyClass } from "./key_class.ts";
import {
  comparePositions,
  type StorePosition,
  UNNAMED_ERA,
} from "./store_position.ts";

/** How a change reached this node. */
export interface ChangeOrigin {
  /** `ip:port` of the node that sent it; undefined if the store did. */
  sender: string | undefined;
  /** Name of the class of its key. */
  keyClass: string;
  /** Upper bound of the time since the change happened, milliseconds; infinite
   * for the first state of this node. */
  maxAgeMs: number;
  /** Whether the change is a difference between the state that was known and the
   * copy from which the store came back, so that it may undo a later one. */
  isRestored: boolean;
}

/** How a mirror entered a later era of the store. */
export interface EraChange {
  /** Position before. */
  previous: StorePosition;
  position: StorePosition;
  /** `ip:port` of the node that sent the state; undefined if the store did. */
  sender: string | undefined;
  /** Keys that were known and that the store does not have any more. */
  missingKeys: readonly string[];
  /** Monotonic time at which the state was received. */
  receivedMs: number;
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
 * sources, by class of keys or all at once. All of it is of one era. Within an era
 * revisions are monotonic in each class: a change at or below the revision already
 * applied is ignored. Only a snapshot of all keys leads to a later era.
 */
export class KeyMirror {
  readonly #classes: readonly KeyClass[];
  readonly #states: ReadonlyMap<string, ClassState>;
  readonly #entries = new Map<string, KeyChange>();
  readonly #recentChanges: KeyChange[] = [];
  readonly #listeners: MirrorListener[] = [];
  readonly #confirmationListeners: ConfirmationListener[] = [];
  readonly #eraListeners: ((change: EraChange) => void)[] = [];
  readonly #waiters = new Set<() => void>();
  #era = UNNAMED_ERA;
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

  /** Era of all that is applied. */
  get era(): number {
    return this.#era;
  }

  /** Position up to which all changes are applied. */
  get position(): StorePosition {
    return { era: this.#era, revision: this.asOf };
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

  /** Registers a listener for later eras. It is called before the changes of the
   * update are applied, and not for the first state of this node. */
  onEraChange(listener: (change: EraChange) => void): void {
    this.#eraListeners.push(listener);
  }

  /** Applies an update from a source to the classes that it covers and that are
   * not newer. Without `times` the update says nothing about how current the
   * mirror is. Returns whether it covers a class that is not newer. */
  apply(
    update: ChangeBatch | Snapshot,
    times: UpdateTimes = UNKNOWN_TIMES,
  ): boolean {
    const { era = UNNAMED_ERA } = update;
    if (era === this.#era) {
      return this.#applyUpdate(update, times, { isRestored: false });
    }
    const isComplete = update.kind === "snapshot" &&
      update.keyClass === undefined;
    if (era < this.#era || !isComplete) {
      return false;
    }
    const isRestored = this.asOf > 0;
    this.#enterEra(update, times);
    return this.#applyUpdate(update, times, { isRestored });
  }

  #enterEra(
    { era = UNNAMED_ERA, entries, asOf, sender }: Snapshot,
    { receivedMs }: UpdateTimes,
  ): void {
    const previous = this.position;
    this.#era = era;
    this.#compactedRevision = 0;
    for (const state of this.#states.values()) {
      state.asOf = 0;
    }
    // Revisions of the era before say nothing about those of this one.
    for (const [key, entry] of this.#entries) {
      this.#entries.set(key, { ...entry, revision: 0 });
    }
    if (previous.revision > 0) {
      const present = new Set(entries.map(({ key }) => key));
      const change = {
        previous,
        position: { era, revision: asOf },
        sender,
        missingKeys: [...this.#entries.keys()]
          .filter((key) => !present.has(key)),
        receivedMs,
      };
      this.#eraListeners.forEach((listener) => listener(change));
    }
  }

  #applyUpdate(
    update: ChangeBatch | Snapshot,
    { receivedMs, confirmedMs }: UpdateTimes,
    { isRestored }: { isRestored: boolean },
  ): boolean {
    const updated = [...this.#states.values()].filter(({ keyClass, asOf }) =>
      update.asOf >= asOf &&
      (update.keyClass === undefined || update.keyClass === keyClass.name)
    );
    if (updated.length === 0) {
      return false;
    }
    const origins = new Map<string, ChangeOrigin>();
    for (const { keyClass, confirmedMs: previousMs } of updated) {
      // The class was complete then, so the changes that it lacks came later.
      const ageMs = receivedMs - previousMs;
      origins.set(keyClass.name, {
        sender: update.sender,
        keyClass: keyClass.name,
        maxAgeMs: ageMs,
        isRestored,
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
    return true;
  }

  /** Returns the latest change of each key after a position and up to that of this
   * mirror, or a snapshot if they are no longer retained or of a later era; no
   * changes if the position is ahead of this mirror. */
  changesAfter(after: StorePosition): ChangeBatch | Snapshot {
    const { asOf, era } = this;
    if (comparePositions(after, { era, revision: asOf }) > 0) {
      return { kind: "changes", era, changes: [], asOf };
    }
    const { revision } = after;
    if (after.era < era || revision < this.#compactedRevision) {
      const entries = [...this.#entries.values()];
      return { kind: "snapshot", era, entries, asOf };
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
    return { kind: "changes", era, changes, asOf };
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
    if (origin.isRestored && change.value === current?.value) {
      this.#entries.set(change.key, change);
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
