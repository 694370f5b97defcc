import type { Clock } from "@limpetshed/base";
import type { StoreClient } from "@limpetshed/store";

/** Milliseconds for which new claims share one lease. */
const BUCKET_MS = 3_600_000;

/**
 * Leases that clean up old claims. All claims of an hour share one lease,
 * which is never kept alive; nothing but clean-up depends on it.
 */
export class ClaimLeases {
  readonly #store: StoreClient;
  readonly #clock: Clock;
  readonly #keepMs: number;
  #leaseId = 0n;
  #takenAtMs = Number.NEGATIVE_INFINITY;
  #taking: Promise<void> | undefined;

  /** `keepMs`: least time that a claim is kept, in milliseconds. */
  constructor({ store, clock, keepMs }: {
    store: StoreClient;
    clock: Clock;
    keepMs: number;
  }) {
    this.#store = store;
    this.#clock = clock;
    this.#keepMs = keepMs;
  }

  /** The lease for claims made now. */
  async current(): Promise<bigint> {
    if (this.#clock.monotonicMs() - this.#takenAtMs >= BUCKET_MS) {
      this.#taking ??= this.#take().finally(() => {
        this.#taking = undefined;
      });
      await this.#taking;
    }
    return this.#leaseId;
  }

  async #take(): Promise<void> {
    const takenAtMs = this.#clock.monotonicMs();
    const { id } = await this.#store.grantLease(this.#keepMs + BUCKET_MS);
    this.#leaseId = id;
    this.#takenAtMs = takenAtMs;
  }
}
