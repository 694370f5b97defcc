import {
  type Clock,
  errorText,
  repeat,
  type RepeatingTask,
} from "@limpetshed/base";
import type { Logger } from "@limpetshed/observe";
import type { Lease, RegistrationStore } from "./node_registration.ts";
import { PendingStreams } from "./pending_streams.ts";
import type { StreamGroupEntry, StreamReport } from "./stream_message.ts";
import {
  type VersionMark,
  VersionMarks,
  type VersionMarksOptions,
} from "./version_marks.ts";

/** Options of {@linkcode StreamLog}. */
export interface StreamLogOptions extends VersionMarksOptions {
  clock: Clock;
  logger: Logger;
  store: RegistrationStore;
  /** Prefix of the keys of this node's batches of streams; unique to each start of
   * the node. */
  batchPrefix: string;
  /** Latest era of the store that this node knows of. */
  era: () => number;
  /** Whether a stream is known to be in the store. */
  isStored: (stream: string, mark: VersionMark) => boolean;
  /** Called with the streams of one author that were written to the store in an
   * era. */
  onStored: (
    author: string,
    stored: { groups: StreamGroupEntry[]; era: number },
  ) => void;
}

/** Interval between writes; streams begun within it are lost if all nodes are
 * killed. Below the time that most endpoints take to their first event. */
const WRITE_INTERVAL_MS = 100;
/** Delay after a failed call, so that a store in trouble is not pressed. */
const RETRY_DELAY_MS = 1_000;
/** Time for which new batches share a lease. */
const BATCH_LEASE_PERIOD_MS = 20_000;
/** Keeps each batch for 60 s at least, several times as long as clients go on with
 * a stream. */
const BATCH_LEASE_TTL_MS = 80_000;

/**
 * Keeps in the store at which software version unfinished streams began, in
 * batches, and which versions are in service, as marks that outlive them. Both
 * vanish with their leases.
 */
export class StreamLog {
  readonly #options: StreamLogOptions;
  readonly #abortController = new AbortController();
  readonly #loop: RepeatingTask;
  readonly #pending: PendingStreams;
  #batchCount = 0;
  #batchLease: { lease: Lease; grantedMs: number } | undefined;
  readonly #marks: VersionMarks;
  #retryAtMs = 0;
  #isFailing = false;

  constructor(options: StreamLogOptions) {
    this.#options = options;
    this.#pending = new PendingStreams(options);
    this.#marks = new VersionMarks(options);
    this.#loop = repeat(options.clock, () => this.#write(), {
      intervalMs: WRITE_INTERVAL_MS,
      onError: (err) => this.#recordFailure(err),
    });
  }

  /** Adds the streams of a report to the next batch. Copies are written only if
   * the store does not have them in time. */
  add(report: StreamReport): void {
    this.#pending.add(report);
  }

  /** Stops writing. */
  async close(): Promise<void> {
    this.#abortController.abort();
    await this.#loop.close();
  }

  async #write(): Promise<void> {
    if (this.#options.clock.monotonicMs() < this.#retryAtMs) {
      return;
    }
    await this.#marks.keep({ signal: this.#abortController.signal });
    await this.#writeBatch();
    this.#isFailing = false;
  }

  async #writeBatch(): Promise<void> {
    const batch = this.#pending.due();
    if (batch.isEmpty) {
      return;
    }
    const { store, batchPrefix, onStored } = this.#options;
    const { signal } = this.#abortController;
    const lease = await this.#currentBatchLease();
    // The author of a stream may be gone, so a batch that was not written stays
    // pending. The next one has the same key and contains it.
    const isWritten = await store.put(`${batchPrefix}${this.#batchCount}`, {
      value: JSON.stringify(batch.groups()),
      lease,
      signal,
    });
    if (!isWritten) {
      this.#batchLease = undefined;
      return;
    }
    this.#batchCount += 1;
    this.#pending.remove(batch);
    for (const [author, groups] of batch.groupsByAuthor()) {
      onStored(author, { groups, era: lease.era });
    }
  }

  async #currentBatchLease(): Promise<Lease> {
    const { clock, store, era } = this.#options;
    const now = clock.monotonicMs();
    if (
      this.#batchLease === undefined || this.#batchLease.lease.era < era() ||
      now - this.#batchLease.grantedMs >= BATCH_LEASE_PERIOD_MS
    ) {
      const lease = await store.grantLease(BATCH_LEASE_TTL_MS, {
        signal: this.#abortController.signal,
      });
      this.#batchLease = { lease, grantedMs: now };
    }
    return this.#batchLease.lease;
  }

  #recordFailure(err: unknown): void {
    const { clock, logger } = this.#options;
    this.#retryAtMs = clock.monotonicMs() + RETRY_DELAY_MS;
    this.#batchLease = undefined;
    if (!this.#isFailing) {
      this.#isFailing = true;
      logger.warn({
        event: "stream_log",
        outcome: "failed",
        err: errorText(err),
      });
    }
  }
}
