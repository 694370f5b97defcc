import type { Clock } from "@limpetshed/base";
import { RouterError } from "@limpetshed/errors";
import type { Metrics, StorePurpose } from "@limpetshed/observe";
import type {
  Store,
  StoreChange,
  StoreEntry,
  StoreLease,
  StoreTransaction,
  StoreTransactionResult,
} from "./store.ts";

/** Options of {@linkcode StoreClient}. */
export interface StoreClientOptions {
  store: Store;
  clock: Clock;
  metrics: Metrics;
  /** Calls a second this node may make, averaged over the burst. */
  callsPerSecond?: number;
  /** Calls that may be made at once after a quiet time. */
  burst?: number;
}

const DEFAULT_CALLS_PER_SECOND = 5;
const DEFAULT_BURST_SECONDS = 10;
const MS_PER_SECOND = 1_000;

/**
 * The one way to the store: counts calls by purpose, a waiting watch as one,
 * and refuses calls beyond the node's budget before they are sent.
 */
export class StoreClient {
  readonly #store: Store;
  readonly #clock: Clock;
  readonly #metrics: Metrics;
  readonly #callsPerSecond: number;
  readonly #burst: number;
  #tokens: number;
  #refilledAtMs: number;

  constructor({
    store,
    clock,
    metrics,
    callsPerSecond = DEFAULT_CALLS_PER_SECOND,
    burst = callsPerSecond * DEFAULT_BURST_SECONDS,
  }: StoreClientOptions) {
    this.#store = store;
    this.#clock = clock;
    this.#metrics = metrics;
    this.#callsPerSecond = callsPerSecond;
    this.#burst = burst;
    this.#tokens = burst;
    this.#refilledAtMs = clock.monotonicMs();
  }

  /** Reads one key. */
  async get(purpose: StorePurpose, key: string): Promise<
    StoreEntry | undefined
  > {
    this.#takeToken(purpose);
    return await this.#store.get(key);
  }

  /** Reads all keys under a prefix. */
  async list(purpose: StorePurpose, prefix: string): Promise<StoreEntry[]> {
    this.#takeToken(purpose);
    return await this.#store.list(prefix);
  }

  /** Runs a transaction; see {@linkcode Store.transact} for errors. */
  async transact(
    purpose: StorePurpose,
    txn: StoreTransaction,
  ): Promise<StoreTransactionResult> {
    this.#takeToken(purpose);
    return await this.#store.transact(txn);
  }

  /** Takes a lease. */
  async grantLease(ttlMs: number): Promise<StoreLease> {
    this.#takeToken("lease");
    return await this.#store.grantLease(ttlMs);
  }

  /** Prolongs a lease; false if it no longer exists. */
  async keepAlive(id: bigint): Promise<boolean> {
    this.#takeToken("lease");
    return await this.#store.keepAlive(id);
  }

  /** Ends a lease. */
  async revokeLease(id: bigint): Promise<void> {
    this.#takeToken("lease");
    await this.#store.revokeLease(id);
  }

  /** Watches one key. */
  watch(
    purpose: StorePurpose,
    key: string,
    options: { signal: AbortSignal; onOpen?: () => void },
  ): AsyncIterable<StoreChange> {
    this.#takeToken(purpose);
    return this.#store.watch(key, options);
  }

  /** Closes the store. */
  async close(): Promise<void> {
    await this.#store.close();
  }

  #takeToken(purpose: StorePurpose): void {
    const nowMs = this.#clock.monotonicMs();
    const refill = (nowMs - this.#refilledAtMs) / MS_PER_SECOND *
      this.#callsPerSecond;
    this.#tokens = Math.min(this.#burst, this.#tokens + refill);
    this.#refilledAtMs = nowMs;
    if (this.#tokens < 1) {
      this.#metrics.count("store.refused_budget");
      throw new RouterError(
        "store_unavailable",
        "this node's budget of store calls is spent",
        { retryAfterMs: MS_PER_SECOND / this.#callsPerSecond },
      );
    }
    this.#tokens -= 1;
    this.#metrics.storeCall(purpose);
  }
}
