import { type Clock, type Timer } from "@limpetshed/base";
import type {
  StoreChange,
  StoreEntry,
  StoreTransaction,
  StoreTransactionResult,
} from "@limpetshed/store";

interface KvLease {
  ttlMs: number;
  timer: Timer;
}

/** Called with every change of a watched key. */
export type KvWatcher = (change: StoreChange) => void;

/** Keys, revisions, leases and watches of the key-value stand-in. */
export class KvEngine {
  readonly #clock: Clock;
  readonly #entries = new Map<string, StoreEntry>();
  readonly #leases = new Map<bigint, KvLease>();
  readonly #watchers = new Map<string, Set<KvWatcher>>();
  #revision = 1n;
  #nextLeaseId = 1n;

  constructor({ clock }: { clock: Clock }) {
    this.#clock = clock;
  }

  /** Revision of the last write. */
  get revision(): bigint {
    return this.#revision;
  }

  /** Reads one key. */
  get(key: string): StoreEntry | undefined {
    return this.#entries.get(key);
  }

  /** Reads the keys from `start` up to, not including, `end`. */
  range(start: string, end: string): StoreEntry[] {
    return [...this.#entries.values()]
      .filter((entry) => entry.key >= start && entry.key < end)
      .sort((a, b) => a.key < b.key ? -1 : 1);
  }

  /** Reads the keys that start with `prefix`. */
  list(prefix: string): StoreEntry[] {
    return this.range(prefix, `${prefix}\uffff`);
  }

  /** Applies a transaction at one revision. */
  transact(txn: StoreTransaction): StoreTransactionResult {
    const succeeded = txn.conditions.every((condition) => {
      const found = this.#entries.get(condition.key)?.modRevision ?? 0n;
      const wanted = condition.kind === "absent" ? 0n : condition.modRevision;
      return found === wanted;
    });
    if (succeeded && txn.writes.length > 0) {
      this.#revision += 1n;
      for (const write of txn.writes) {
        if (write.kind === "delete") {
          this.#delete(write.key);
        } else {
          this.#put(write.key, write.value, write.leaseId ?? 0n);
        }
      }
    }
    const reads = succeeded ? [] : txn.readOnFailure ?? [];
    return {
      succeeded,
      revision: this.#revision,
      entries: reads.flatMap((key) => this.#entries.get(key) ?? []),
    };
  }

  /** Takes a lease. */
  grantLease(ttlMs: number): bigint {
    const id = this.#nextLeaseId;
    this.#nextLeaseId += 1n;
    this.#leases.set(id, { ttlMs, timer: this.#startExpiryTimer(id, ttlMs) });
    return id;
  }

  /** Prolongs a lease; returns its time to live, 0 if it is gone. */
  keepAlive(id: bigint): number {
    const lease = this.#leases.get(id);
    if (lease === undefined) {
      return 0;
    }
    lease.timer.cancel();
    lease.timer = this.#startExpiryTimer(id, lease.ttlMs);
    return lease.ttlMs;
  }

  /** Ends a lease and deletes its keys. */
  endLease(id: bigint): void {
    this.#leases.get(id)?.timer.cancel();
    this.#leases.delete(id);
    const bound = [...this.#entries.values()].filter((entry) =>
      entry.leaseId === id
    );
    if (bound.length > 0) {
      this.#revision += 1n;
      bound.forEach((entry) => this.#delete(entry.key));
    }
  }

  /** Watches one key; returns the function that ends the watch. */
  watch(key: string, watcher: KvWatcher): () => void {
    const set = this.#watchers.get(key) ?? new Set();
    set.add(watcher);
    this.#watchers.set(key, set);
    return () => set.delete(watcher);
  }

  /** Cancels the timers of all leases. */
  close(): void {
    for (const lease of this.#leases.values()) {
      lease.timer.cancel();
    }
  }

  #startExpiryTimer(id: bigint, ttlMs: number): Timer {
    return this.#clock.setTimer(ttlMs, () => this.endLease(id));
  }

  #put(key: string, value: Uint8Array, leaseId: bigint): void {
    const modRevision = this.#revision;
    this.#entries.set(key, { key, value, modRevision, leaseId });
    this.#notify({ key, value, modRevision });
  }

  #delete(key: string): void {
    if (this.#entries.delete(key)) {
      const modRevision = this.#revision;
      this.#notify({ key, value: undefined, modRevision });
    }
  }

  #notify(change: StoreChange): void {
    for (const watcher of this.#watchers.get(change.key) ?? []) {
      watcher(change);
    }
  }
}
