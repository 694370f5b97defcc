import { type Clock, sleep } from "@limpetshed/base";
import type { Rng } from "@limpetshed/hashing";
import type { Logger } from "@limpetshed/observe";
import type { StoreClient, StoreCondition } from "@limpetshed/store";
import { type ClaimRecord, encodeClaim } from "./claim_record.ts";

/** A claim that this node has written to the store. */
export interface HeldClaim {
  /** Key in the store. */
  key: string;
  record: ClaimRecord;
  modRevision: bigint;
  leaseId: bigint;
}

/** Options of {@linkcode OutcomeRecorder}. */
export interface OutcomeRecorderOptions {
  clock: Clock;
  rng: Rng;
  logger: Logger;
  store: StoreClient;
}

const INITIAL_RETRY_DELAY_MS = 500;
const MAX_RETRY_DELAY_MS = 60_000;
const MAX_PENDING_WRITES = 1_000;

/**
 * Writes call outcomes to the store in the background, so that the response
 * does not wait, and retries while the store is unavailable.
 */
export class OutcomeRecorder {
  readonly #options: OutcomeRecorderOptions;
  readonly #stop = new AbortController();
  readonly #pendingWrites = new Set<Promise<void>>();

  constructor(options: OutcomeRecorderOptions) {
    this.#options = options;
  }

  /** Stops retries; waits until pending writes succeeded or failed. */
  async close(): Promise<void> {
    this.#stop.abort();
    await Promise.all(this.#pendingWrites);
  }

  /** Replaces a claim with its outcome. */
  record(held: HeldClaim, outcome: ClaimRecord): void {
    this.#startWrite(async () => {
      const { key, leaseId } = held;
      await this.#options.store.transact("claim_outcome", {
        conditions: [claimUnchanged(held)],
        writes: [{ kind: "put", key, value: encodeClaim(outcome), leaseId }],
      });
    });
  }

  /** Deletes the claim of a call that was not run, so it can be retried. */
  remove(held: HeldClaim): void {
    this.#startWrite(async () => {
      await this.#options.store.transact("claim_outcome", {
        conditions: [claimUnchanged(held)],
        writes: [{ kind: "delete", key: held.key }],
      });
    });
  }

  #startWrite(write: () => Promise<void>): void {
    if (this.#pendingWrites.size >= MAX_PENDING_WRITES) {
      this.#options.logger.error(
        "outcome dropped: too many store writes pending",
      );
      return;
    }
    const task = this.#writeWithRetries(write).finally(() => {
      this.#pendingWrites.delete(task);
    });
    this.#pendingWrites.add(task);
  }

  /** Retries are safe because each write requires the claim to be unchanged. */
  async #writeWithRetries(write: () => Promise<void>): Promise<void> {
    const { clock, rng, logger } = this.#options;
    let delayMs = INITIAL_RETRY_DELAY_MS;
    for (;;) {
      try {
        await write();
        return;
      } catch (err) {
        logger.warn({ err }, "failed to record outcome");
      }
      if (this.#stop.signal.aborted) {
        return;
      }
      const jitteredDelayMs = delayMs * rng.jitter();
      await sleep(clock, jitteredDelayMs, { signal: this.#stop.signal });
      delayMs = Math.min(MAX_RETRY_DELAY_MS, 2 * delayMs);
    }
  }
}

function claimUnchanged({ key, modRevision }: HeldClaim): StoreCondition {
  return { kind: "unchanged", key, modRevision };
}
