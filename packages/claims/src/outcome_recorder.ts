import { type Clock, sleep } from "@limpetshed/base";
import type { Rng } from "@limpetshed/hashing";
import type { Logger } from "@limpetshed/observe";
import type { StoreClient, StoreCondition } from "@limpetshed/store";
import { type ClaimRecord, encodeClaim } from "./claim_record.ts";

/** A claim of this node as the store holds it. */
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

const RETRY_FIRST_MS = 500;
const RETRY_MAX_MS = 60_000;
const MAX_RECORDING = 1_000;

/** Writes outcomes beside the answer, again and again while the store is away. */
export class OutcomeRecorder {
  readonly #options: OutcomeRecorderOptions;
  readonly #stop = new AbortController();
  readonly #recording = new Set<Promise<void>>();

  constructor(options: OutcomeRecorderOptions) {
    this.#options = options;
  }

  /** Waits until outcomes are written or the last attempt failed. */
  async close(): Promise<void> {
    this.#stop.abort();
    await Promise.all(this.#recording);
  }

  /** Replaces the claim by its outcome. */
  record(held: HeldClaim, record: ClaimRecord): void {
    this.#inBackground(async () => {
      const { key, leaseId } = held;
      await this.#options.store.transact("claim_outcome", {
        conditions: [unchanged(held)],
        writes: [{ kind: "put", key, value: encodeClaim(record), leaseId }],
      });
    });
  }

  /** Frees the key of a call that was not run, for the caller's next try. */
  remove(held: HeldClaim): void {
    this.#inBackground(async () => {
      await this.#options.store.transact("claim_outcome", {
        conditions: [unchanged(held)],
        writes: [{ kind: "delete", key: held.key }],
      });
    });
  }

  #inBackground(write: () => Promise<void>): void {
    if (this.#recording.size >= MAX_RECORDING) {
      this.#options.logger.error("too many outcomes wait for the store");
      return;
    }
    const task = this.#writeUntilDone(write).finally(() => {
      this.#recording.delete(task);
    });
    this.#recording.add(task);
  }

  /** The condition on the claim makes a repeated write harmless. */
  async #writeUntilDone(write: () => Promise<void>): Promise<void> {
    const { clock, rng, logger } = this.#options;
    let pauseMs = RETRY_FIRST_MS;
    for (;;) {
      try {
        await write();
        return;
      } catch (err) {
        logger.warn({ err }, "outcome not recorded yet");
      }
      if (this.#stop.signal.aborted) {
        return;
      }
      const ms = pauseMs * rng.jitter();
      await sleep(clock, ms, { signal: this.#stop.signal });
      pauseMs = Math.min(RETRY_MAX_MS, 2 * pauseMs);
    }
  }
}

function unchanged({ key, modRevision }: HeldClaim): StoreCondition {
  return { kind: "unchanged", key, modRevision };
}
