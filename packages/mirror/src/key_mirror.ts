import type { ChangeBatch, KeyChange, Snapshot } from "./change_source.ts";

/** Receives each change that the mirror took over. */
export type MirrorListener = (change: KeyChange) => void;

/** Changes kept for nodes that follow this one. */
const MAX_KEPT_CHANGES = 2_000;

/**
 * A copy of the watched keys. It only goes forward: a change at or below the
 * revision already seen for its key is ignored, whatever source it is from.
 */
export class KeyMirror {
  readonly #entries = new Map<string, KeyChange>();
  readonly #recent: KeyChange[] = [];
  readonly #listeners: MirrorListener[] = [];
  readonly #waiting = new Set<() => void>();
  /** Changes at or below this revision are no longer kept. */
  #forgotten = 0;
  #asOf = 0;

  /** Revision up to which every change is known; 0 before the first read. */
  get asOf(): number {
    return this.#asOf;
  }

  /** Calls `listener` with each change taken over from now on. */
  onChange(listener: MirrorListener): void {
    this.#listeners.push(listener);
  }

  /** Takes over what a source returned. */
  apply(update: ChangeBatch | Snapshot): void {
    if (update.asOf < this.#asOf) {
      return;
    }
    if (update.kind === "snapshot") {
      this.#applySnapshot(update);
    } else {
      // A change the mirror has passed already must not undo a later one.
      update.changes
        .filter(({ revision }) => revision > this.#asOf)
        .forEach((change) => this.#take(change));
    }
    this.#asOf = update.asOf;
    [...this.#waiting].forEach((wake) => wake());
  }

  /** Changes after `revision`, or all entries if those are not kept. Nothing
   * for a follower that knows more. */
  changesAfter(revision: number): ChangeBatch | Snapshot {
    if (revision < this.#forgotten) {
      const entries = [...this.#entries.values()];
      return { kind: "snapshot", entries, asOf: this.#asOf };
    }
    const changes = this.#recent.filter((change) => change.revision > revision);
    return { kind: "changes", changes, asOf: this.#asOf };
  }

  /** Resolves at the next update, or when `signal` aborts. */
  nextUpdate(signal: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      const finish = () => {
        this.#waiting.delete(finish);
        signal.removeEventListener("abort", finish);
        resolve();
      };
      this.#waiting.add(finish);
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
        this.#take({ key, value: undefined, revision: asOf });
      }
    }
    entries.forEach((entry) => this.#take(entry));
    this.#forgotten = asOf;
    this.#recent.length = 0;
  }

  #take(change: KeyChange): void {
    const known = this.#entries.get(change.key);
    if (change.revision <= (known?.revision ?? 0)) {
      return;
    }
    if (change.value === undefined) {
      this.#entries.delete(change.key);
    } else {
      this.#entries.set(change.key, change);
    }
    this.#recent.push(change);
    if (this.#recent.length > MAX_KEPT_CHANGES) {
      this.#forgotten = this.#recent.shift()!.revision;
    }
    for (const listener of this.#listeners) {
      listener(change);
    }
  }
}
