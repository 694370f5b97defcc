import {
  type Clock,
  errorText,
  repeat,
  type RepeatingTask,
} from "@limpetshed/base";
import type { Logger } from "@limpetshed/observe";

/** A lease of the store. */
export interface Lease {
  /** Unique within an era only. */
  id: number;
  /** Era of the store that granted it. */
  era: number;
}

/** Store operations needed to register a node. */
export interface RegistrationStore {
  /** Grants a lease. */
  grantLease(ttlMs: number, options: { signal: AbortSignal }): Promise<Lease>;
  /** Renews a lease; false if it has expired, or ended with its era. */
  renewLease(lease: Lease, options: { signal: AbortSignal }): Promise<boolean>;
  /** Writes a key attached to a lease; false if the lease has expired, or ended
   * with its era. */
  put(
    key: string,
    options: { value: string; lease: Lease; signal: AbortSignal },
  ): Promise<boolean>;
}

/** Options of {@linkcode NodeRegistration}. */
export interface NodeRegistrationOptions {
  clock: Clock;
  logger: Logger;
  store: RegistrationStore;
  key: string;
  value: string;
  /** Latest era of the store that this node knows of. */
  era: () => number;
  /** Returns a number in `[0, 1)`. */
  random: () => number;
}

/** Longer than a restart and most outages of the store. A stale entry is cheap:
 * it only costs the datagrams sent to a stopped node. */
const LEASE_TTL_MS = 30_000;
/** A third of the lease TTL. */
const RENEW_INTERVAL_MS = 10_000;
/** Interval of the renewal loop, and so the retry delay after a failed call. */
const RETRY_INTERVAL_MS = 700;
/** Time over which the nodes of a fleet register in a new era, milliseconds. */
const NEW_ERA_SPREAD_MS = 700;

/** Registers this node in the store under a lease that it keeps renewing. */
export class NodeRegistration {
  readonly #options: NodeRegistrationOptions;
  readonly #abortController = new AbortController();
  readonly #renewalLoop: RepeatingTask;
  #lease: Lease | undefined;
  /** Monotonic time before which this node does not register in a new era. */
  #newEraFromMs: number | undefined;
  #lastRenewalMs = Number.NEGATIVE_INFINITY;
  #consecutiveFailures = 0;

  constructor(options: NodeRegistrationOptions) {
    this.#options = options;
    const { clock } = options;
    this.#renewalLoop = repeat(clock, () => this.#registerOrRenew(), {
      intervalMs: RETRY_INTERVAL_MS,
      onError: (err) => this.#recordFailure(err),
    });
  }

  /** Stops renewing; the entry is removed when its lease expires. */
  async close(): Promise<void> {
    this.#abortController.abort();
    await this.#renewalLoop.close();
  }

  /** Logs the first failure of an outage only; the `MirrorFollower` of the
   * store logs the outage itself. */
  #recordFailure(err: unknown): void {
    this.#consecutiveFailures += 1;
    if (this.#consecutiveFailures === 1) {
      const { logger, key } = this.#options;
      logger.warn({
        event: "registration",
        outcome: "failed",
        entry: key,
        err: errorText(err),
      });
    }
  }

  #recordRenewal(): void {
    this.#lastRenewalMs = this.#options.clock.monotonicMs();
    this.#consecutiveFailures = 0;
  }

  async #registerOrRenew(): Promise<void> {
    const { clock, store, logger, key, value } = this.#options;
    const { signal } = this.#abortController;
    if (this.#lease !== undefined && this.#lease.era < this.#options.era()) {
      if (this.#isTooEarlyInNewEra()) {
        return;
      }
      this.#lease = undefined;
    } else if (clock.monotonicMs() - this.#lastRenewalMs < RENEW_INTERVAL_MS) {
      return;
    }
    if (this.#lease !== undefined) {
      if (await store.renewLease(this.#lease, { signal })) {
        this.#recordRenewal();
        return;
      }
      this.#lease = undefined;
    }
    // A registration that fails is repeated at once, not when the lease that it
    // replaces would have been renewed.
    this.#lastRenewalMs = Number.NEGATIVE_INFINITY;
    const lease = await store.grantLease(LEASE_TTL_MS, { signal });
    if (await store.put(key, { value, lease, signal })) {
      this.#lease = lease;
      this.#newEraFromMs = undefined;
      this.#recordRenewal();
      logger.info({
        event: "registration",
        outcome: "entered",
        entry: key,
        era: lease.era,
      });
    }
  }

  /** Spreads the registrations of all nodes over time. */
  #isTooEarlyInNewEra(): boolean {
    const { clock, random } = this.#options;
    const now = clock.monotonicMs();
    this.#newEraFromMs ??= now + NEW_ERA_SPREAD_MS * random();
    return now < this.#newEraFromMs;
  }
}
