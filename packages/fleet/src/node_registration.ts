import {
  type Clock,
  errorText,
  repeat,
  type RepeatingTask,
} from "@limpetshed/base";
import type { Logger } from "@limpetshed/observe";

/** What registering needs of the store. */
export interface RegistrationStore {
  /** Takes a lease; resolves to its id. */
  grantLease(ttlMs: number, options: { signal: AbortSignal }): Promise<number>;
  /** Prolongs a lease; false if it has ended. */
  keepLease(lease: number, options: { signal: AbortSignal }): Promise<boolean>;
  /** Writes a key bound to a lease; false if the lease has ended. */
  put(
    key: string,
    options: { value: string; lease: number; signal: AbortSignal },
  ): Promise<boolean>;
}

/** Options of {@linkcode NodeRegistration}. */
export interface NodeRegistrationOptions {
  clock: Clock;
  logger: Logger;
  store: RegistrationStore;
  key: string;
  value: string;
}

/** Outlives a restart and most outages of the store; an entry that stays
 * behind only costs datagrams. */
const LEASE_MS = 30_000;
/** A third of the lease. */
const RENEW_MS = 10_000;
/** Pause after a call that failed. */
const RETRY_MS = 700;

/** Keeps this node's entry in the store, under a lease. */
export class NodeRegistration {
  readonly #options: NodeRegistrationOptions;
  readonly #stop = new AbortController();
  readonly #rounds: RepeatingTask;
  #lease: number | undefined;
  #renewedMs = Number.NEGATIVE_INFINITY;
  #failures = 0;

  constructor(options: NodeRegistrationOptions) {
    this.#options = options;
    const { clock } = options;
    this.#rounds = repeat(clock, () => this.#round(), {
      intervalMs: RETRY_MS,
      onError: (err) => this.#failed(err),
    });
  }

  /** Stops; the entry ends with its lease. */
  async close(): Promise<void> {
    this.#stop.abort();
    await this.#rounds.close();
  }

  /** Says so once for each outage; the follower of the store tells the rest. */
  #failed(err: unknown): void {
    this.#failures += 1;
    if (this.#failures === 1) {
      const { logger, key } = this.#options;
      logger.warn({
        event: "registration",
        outcome: "failed",
        entry: key,
        err: errorText(err),
      });
    }
  }

  #renewed(): void {
    this.#renewedMs = this.#options.clock.monotonicMs();
    this.#failures = 0;
  }

  async #round(): Promise<void> {
    const { clock, store, logger, key, value } = this.#options;
    const { signal } = this.#stop;
    if (clock.monotonicMs() - this.#renewedMs < RENEW_MS) {
      return;
    }
    if (this.#lease !== undefined) {
      if (await store.keepLease(this.#lease, { signal })) {
        this.#renewed();
        return;
      }
      this.#lease = undefined;
    }
    const lease = await store.grantLease(LEASE_MS, { signal });
    if (await store.put(key, { value, lease, signal })) {
      this.#lease = lease;
      this.#renewed();
      logger.info({ event: "registration", outcome: "entered", entry: key });
    }
  }
}
