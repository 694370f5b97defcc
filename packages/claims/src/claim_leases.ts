import type { Clock } from "@limpetshed/base";
import type { StoreClient } from "@limpetshed/store";

/** Milliseconds during which new claims share a lease. */
const LEASE_SHARING_MS = 3_600_000;

/**
 * Grants the store leases that delete old claims on expiry. Claims made within
 * an hour share a lease, which is never renewed; only clean-up depends on it.
 */
export class ClaimLeases {
  readonly #store: StoreClient;
  readonly #clock: Clock;
  readonly #retentionMs: number;
  #leaseId = 0n;
  #grantedAtMs = Number.NEGATIVE_INFINITY;
  #pendingGrant: Promise<void> | undefined;

  /** `retentionMs`: minimum retention of a claim, in milliseconds. */
  constructor({ store, clock, retentionMs }: {
    store: StoreClient;
    clock: Clock;
    retentionMs: number;
  }) {
    this.#store = store;
    this.#clock = clock;
    this.#retentionMs = retentionMs;
  }

  /** Returns the id of the lease for claims made now; grants one if needed. */
  async currentId(): Promise<bigint> {
    if (this.#clock.monotonicMs() - this.#grantedAtMs >= LEASE_SHARING_MS) {
      this.#pendingGrant ??= this.#grantLease().finally(() => {
        this.#pendingGrant = undefined;
      });
      await this.#pendingGrant;
    }
    return this.#leaseId;
  }

  async #grantLease(): Promise<void> {
    const grantedAtMs = this.#clock.monotonicMs();
    const { id } = await this.#store.grantLease(
      this.#retentionMs + LEASE_SHARING_MS,
    );
    this.#leaseId = id;
    this.#grantedAtMs = grantedAtMs;
  }
}
