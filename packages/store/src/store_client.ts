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
  /** Sustained rate limit of calls from this node: the token refill rate. */
  callsPerSecond?: number;
  /** Token bucket capacity: calls allowed at once after an idle period. */
  burst?: number;
}

const DEFAULT_CALLS_PER_SECOND = 5;
const DEFAULT_BURST_SECONDS = 10;
const MS_PER_SECOND = 1_000;

/**
 * Rate-limited access to the store. Counts calls by purpose, a watch as one
 * call, and rejects calls that exceed the node's token bucket before they are
 * sent.
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

  /** Reads all keys with a prefix. */
  async list(purpose: StorePurpose, prefix: string): Promise<StoreEntry[]> {
    this.#takeToken(purpose);
    return await this.#store.list(prefix);
  }

  /** Executes a transaction; see {@linkcode Store} for errors. */
  async transact(
    purpose: StorePurpose,
    txn: StoreTransaction,
  ): Promise<StoreTransactionResult> {
    this.#takeToken(purpose);
    return await this.#store.transact(txn);
  }

  /** Requests a lease. */
  async grantLease(ttlMs: number): Promise<StoreLease> {
    this.#takeToken("lease");
    return await this.#store.grantLease(ttlMs);
  }

  /** Renews a lease; resolves to false if it no longer exists. */
  async keepAlive(id: bigint): Promise<boolean> {
    this.#takeToken("lease");
    return await this.#store.keepAlive(id);
  }

  /** Revokes a lease and deletes its keys. */
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

  /** Closes the underlying store. */
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
    this.#metrics.countStoreCall(purpose);
  }
}
