/** A key and its value. */
export interface StoreEntry {
  key: string;
  value: Uint8Array;
  /** Store revision of the last change to this key; 0 for a missing key. */
  modRevision: bigint;
  /** Lease that the key is attached to; 0 for none. */
  leaseId: bigint;
}

/** Precondition of a transaction. */
export type StoreCondition =
  | { kind: "absent"; key: string }
  | { kind: "unchanged"; key: string; modRevision: bigint };

/** Write operation of a transaction. */
export type StoreWrite =
  | { kind: "put"; key: string; value: Uint8Array; leaseId?: bigint }
  | { kind: "delete"; key: string };

/** Writes that are applied atomically if all conditions hold. */
export interface StoreTransaction {
  conditions: readonly StoreCondition[];
  writes: readonly StoreWrite[];
  /** Keys read atomically with the conditions if one of them fails. */
  readOnFailure?: readonly string[];
}

/** Result of a transaction whose response arrived. */
export interface StoreTransactionResult {
  succeeded: boolean;
  /** Store revision after the transaction. */
  revision: bigint;
  /** The entries of `readOnFailure` that exist. */
  entries: readonly StoreEntry[];
}

/** Change event of a watch; `value` is undefined for a deletion. */
export interface StoreChange {
  key: string;
  value: Uint8Array | undefined;
  modRevision: bigint;
}

/** Lease; its keys are deleted when it expires or is revoked. */
export interface StoreLease {
  id: bigint;
  /** Granted time to live in milliseconds. */
  ttlMs: number;
}

/**
 * Interface of the platform's key-value service. Failed reads reject with
 * `store_unavailable`. Failed writes reject with `store_unavailable` only if
 * they certainly had no effect, else with `store_outcome_unknown`.
 */
export abstract class Store {
  /** Reads one key. */
  abstract get(key: string): Promise<StoreEntry | undefined>;

  /** Reads all keys that start with `prefix`. */
  abstract list(prefix: string): Promise<StoreEntry[]>;

  /** Executes a transaction. */
  abstract transact(txn: StoreTransaction): Promise<StoreTransactionResult>;

  /** Requests a lease of `ttlMs` milliseconds; the store may round it up. */
  abstract grantLease(ttlMs: number): Promise<StoreLease>;

  /** Renews a lease; resolves to false if it no longer exists. */
  abstract keepAlive(id: bigint): Promise<boolean>;

  /** Revokes a lease and deletes its keys. */
  abstract revokeLease(id: bigint): Promise<void>;

  /**
   * Watches one key and yields its changes until `signal` aborts. Calls
   * `onOpen` once the watch is established; later changes are not missed.
   * Throws if the watch fails, after which changes may have been missed.
   */
  abstract watch(
    key: string,
    options: { signal: AbortSignal; onOpen?: () => void },
  ): AsyncIterable<StoreChange>;

  /** Closes all connections. */
  abstract close(): Promise<void>;
}
