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

/** Callback for changes to a watched key. */
export type KvWatcher = (change: StoreChange) => void;

/**
 * In-memory key-value engine with etcd semantics: revisions, transactions,
 * leases and watches.
 */
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

  /** Reads the keys from `start` (inclusive) to `end` (exclusive), sorted. */
  range(start: string, end: string): StoreEntry[] {
    return [...this.#entries.values()]
      .filter((entry) => entry.key >= start && entry.key < end)
      .sort((a, b) => a.key < b.key ? -1 : 1);
  }

  /** Reads all keys that start with `prefix`, sorted. */
  list(prefix: string): StoreEntry[] {
    return this.range(prefix, `${prefix}\uffff`);
  }

  /** Executes a transaction; all its writes share one revision. */
  transact(txn: StoreTransaction): StoreTransactionResult {
    const succeeded = txn.conditions.every((condition) => {
      const actual = this.#entries.get(condition.key)?.modRevision ?? 0n;
      const expected = condition.kind === "absent" ? 0n : condition.modRevision;
      return actual === expected;
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

  /** Grants a lease and returns its id. */
  grantLease(ttlMs: number): bigint {
    const id = this.#nextLeaseId;
    this.#nextLeaseId += 1n;
    this.#leases.set(id, { ttlMs, timer: this.#startExpiryTimer(id, ttlMs) });
    return id;
  }

  /** Renews a lease; returns its TTL in milliseconds, 0 if it has ended. */
  keepAlive(id: bigint): number {
    const lease = this.#leases.get(id);
    if (lease === undefined) {
      return 0;
    }
    lease.timer.cancel();
    lease.timer = this.#startExpiryTimer(id, lease.ttlMs);
    return lease.ttlMs;
  }

  /** Ends a lease, revoked or expired, and deletes its keys. */
  endLease(id: bigint): void {
    this.#leases.get(id)?.timer.cancel();
    this.#leases.delete(id);
    const attached = [...this.#entries.values()].filter((entry) =>
      entry.leaseId === id
    );
    if (attached.length > 0) {
      this.#revision += 1n;
      attached.forEach((entry) => this.#delete(entry.key));
    }
  }

  /** Watches one key; returns a function that cancels the watch. */
  watch(key: string, watcher: KvWatcher): () => void {
    const watchers = this.#watchers.get(key) ?? new Set();
    watchers.add(watcher);
    this.#watchers.set(key, watchers);
    return () => watchers.delete(watcher);
  }

  /** Cancels all lease expiry timers. */
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
