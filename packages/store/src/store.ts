/** One key with its value. */
export interface StoreEntry {
  key: string;
  value: Uint8Array;
  /** Revision of the last change of this key; 0 for a missing key. */
  modRevision: bigint;
  /** Lease that the key is bound to; 0 for none. */
  leaseId: bigint;
}

/** Condition of a transaction. */
export type StoreCondition =
  | { kind: "absent"; key: string }
  | { kind: "unchanged"; key: string; modRevision: bigint };

/** Write of a transaction. */
export type StoreWrite =
  | { kind: "put"; key: string; value: Uint8Array; leaseId?: bigint }
  | { kind: "delete"; key: string };

/** Writes applied together if every condition holds, else none of them. */
export interface StoreTransaction {
  conditions: readonly StoreCondition[];
  writes: readonly StoreWrite[];
  /** Keys read in the same step when a condition fails. */
  readOnFailure?: readonly string[];
}

/** Outcome of a transaction whose answer arrived. */
export interface StoreTransactionResult {
  succeeded: boolean;
  /** Store revision after the transaction. */
  revision: bigint;
  /** The entries of `readOnFailure` that exist. */
  entries: readonly StoreEntry[];
}

/** One change seen by a watch; `value` is undefined for a deletion. */
export interface StoreChange {
  key: string;
  value: Uint8Array | undefined;
  modRevision: bigint;
}

/** A lease: keys bound to it vanish when it is not kept alive. */
export interface StoreLease {
  id: bigint;
  /** Time to live in milliseconds. */
  ttlMs: number;
}

/**
 * The platform's key-value service. Reads reject with `store_unavailable`.
 * Writes reject with `store_unavailable` only when they have certainly not
 * taken effect, and with `store_outcome_unknown` otherwise.
 */
export abstract class Store {
  /** Reads one key. */
  abstract get(key: string): Promise<StoreEntry | undefined>;

  /** Reads all keys that start with `prefix`. */
  abstract list(prefix: string): Promise<StoreEntry[]>;

  /** Runs a transaction. */
  abstract transact(txn: StoreTransaction): Promise<StoreTransactionResult>;

  /** Takes a lease of `ttlMs` milliseconds. */
  abstract grantLease(ttlMs: number): Promise<StoreLease>;

  /** Prolongs a lease; resolves to false if it no longer exists. */
  abstract keepAlive(id: bigint): Promise<boolean>;

  /** Ends a lease and deletes its keys. */
  abstract revokeLease(id: bigint): Promise<void>;

  /**
   * Waits for changes of one key and yields them until `signal` aborts.
   * Calls `onOpen` once every later change will be seen. Throws when the
   * watch breaks; changes may have been missed by then.
   */
  abstract watch(
    key: string,
    options: { signal: AbortSignal; onOpen?: () => void },
  ): AsyncIterable<StoreChange>;

  /** Releases connections. */
  abstract close(): Promise<void>;
}
