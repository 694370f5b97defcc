import { type Clock, errorText } from "@limpetshed/base";
import type { Logger } from "@limpetshed/observe";

/** A write that is executed only if the keys have these revisions. */
export interface ConditionalWrite {
  /** A revision of 0 means that the key doesn't exist. */
  expect: readonly { key: string; revision: number }[];
  key: string;
  value: string;
  /** Era of the store in which the revisions hold. */
  era: number;
  signal: AbortSignal;
}

/** Writes to the store under a condition. */
export interface ConditionalStore {
  /** Returns the revision of the write; undefined if the condition doesn't hold. */
  putIf(write: ConditionalWrite): Promise<number | undefined>;
}

/** A status that a key should hold. */
export interface StatusWish extends Omit<ConditionalWrite, "signal"> {
  /** Called with the revision of the write. */
  onWritten: (revision: number) => void;
}

/** Options of {@linkcode RolloutStatusWriter}. */
export interface RolloutStatusWriterOptions {
  clock: Clock;
  logger: Logger;
  store: ConditionalStore;
  /** This node's place among those that may write; the first is 0. */
  rank: () => number;
}

/** A wish that has not come true. */
interface Attempts {
  /** Value and condition, to tell a new wish from a known one. */
  id: string;
  nextMs: number;
  failures: number;
}

/** Time that a node leaves to the one before it: the store answers in a few
 * milliseconds, and its news take less than this. */
const RANK_DELAY_MS = 300;
const MAX_RANK = 10;
/** Delay after a call that failed or lost against another write. */
const RETRY_DELAY_MS = 500;
const MAX_RETRY_DELAY_MS = 2_000;

/** Writes statuses of the fleet to the store. All nodes wish for them; the first in
 * rank writes, and the next ones if it doesn't. */
export class RolloutStatusWriter {
  readonly #options: RolloutStatusWriterOptions;
  readonly #abortController = new AbortController();
  readonly #attempts = new Map<string, Attempts>();
  #write: Promise<void> | undefined;

  constructor(options: RolloutStatusWriterOptions) {
    this.#options = options;
  }

  /** Writes what is due of the wishes that are left. */
  update(wishes: readonly StatusWish[]): void {
    const keys = new Set(wishes.map(({ key }) => key));
    for (const key of [...this.#attempts.keys()]) {
      if (!keys.has(key)) {
        this.#attempts.delete(key);
      }
    }
    const now = this.#options.clock.monotonicMs();
    for (const wish of wishes) {
      const attempts = this.#attemptsOf(wish);
      if (this.#write === undefined && now >= attempts.nextMs) {
        this.#write = this.#attempt(wish, attempts).finally(() => {
          this.#write = undefined;
        });
      }
    }
  }

  /** Stops writing. */
  async close(): Promise<void> {
    this.#abortController.abort();
    await this.#write;
  }

  #attemptsOf({ key, value, expect }: StatusWish): Attempts {
    const id = JSON.stringify([value, expect]);
    let attempts = this.#attempts.get(key);
    if (attempts?.id !== id) {
      const rank = Math.min(MAX_RANK, this.#options.rank());
      const nextMs = this.#options.clock.monotonicMs() + rank * RANK_DELAY_MS;
      attempts = { id, nextMs, failures: 0 };
      this.#attempts.set(key, attempts);
    }
    return attempts;
  }

  async #attempt(
    { onWritten, ...write }: StatusWish,
    attempts: Attempts,
  ): Promise<void> {
    const { clock, logger, store } = this.#options;
    const { signal } = this.#abortController;
    const fields = { event: "rollout_status", key: write.key };
    try {
      const revision = await store.putIf({ ...write, signal });
      if (revision !== undefined) {
        logger.info({ ...fields, outcome: "written", revision });
        onWritten(revision);
        return;
      }
      // Another write was first, perhaps an earlier one of this node whose answer
      // was lost; it comes with the changes of the store.
      logger.info({ ...fields, outcome: "superseded" });
    } catch (err) {
      logger.warn({ ...fields, outcome: "failed", err: errorText(err) });
    }
    attempts.failures += 1;
    attempts.nextMs = clock.monotonicMs() +
      Math.min(MAX_RETRY_DELAY_MS, RETRY_DELAY_MS * attempts.failures);
  }
}
