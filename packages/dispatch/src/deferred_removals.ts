import type { Clock, Timer } from "@limpetshed/base";
import type { EndpointRegistry } from "./endpoint_registry.ts";

/** Time for endpoints whose entries expired during an outage of the key-value
 * store to register again. */
export const REREGISTRATION_GRACE_MS = 2_000;

/** Fraction of the drain time for which a removed endpoint stays a last resort;
 * less than 1, so that it is removed before it stops accepting requests. */
const DRAIN_FRACTION = 0.9;

/**
 * Delays the removal of endpoints whose entries in the key-value store were
 * deleted. Entries expire during a store outage although their endpoints are
 * alive, so a deletion seen right after one takes effect only if the endpoint
 * does not register again in time. At other times the endpoint is kept as a
 * last resort while it drains.
 */
export class DeferredRemovals {
  readonly #clock: Clock;
  readonly #registry: EndpointRegistry;
  readonly #lastOutageEndMs: () => number;
  readonly #drainMs: number;
  readonly #timers = new Map<string, Timer>();

  constructor({ clock, registry, lastOutageEndMs, drainMs }: {
    clock: Clock;
    registry: EndpointRegistry;
    /** Monotonic time at which the last outage of the store ended; negative
     * infinity before the first one. */
    lastOutageEndMs: () => number;
    /** Time for which a leaving endpoint still accepts requests. */
    drainMs: number;
  }) {
    this.#clock = clock;
    this.#registry = registry;
    this.#lastOutageEndMs = lastOutageEndMs;
    this.#drainMs = drainMs;
  }

  /** Schedules the removal of endpoint `id`, whose entry was deleted, or replaced
   * by one that cannot be read, at most `maxAgeMs` ago. */
  entryRemoved(
    id: string,
    { maxAgeMs, isUnreadable = false }: {
      maxAgeMs: number;
      isUnreadable?: boolean;
    },
  ): void {
    const graceRemainingMs = this.#lastOutageEndMs() + REREGISTRATION_GRACE_MS -
      this.#clock.monotonicMs();
    const isInGracePeriod = graceRemainingMs > 0;
    const delayMs = isInGracePeriod
      ? graceRemainingMs
      : this.#lastResortMs(maxAgeMs);
    if (!isInGracePeriod) {
      this.#registry.demote(id, { hasVanished: !isUnreadable });
    }
    if (!this.#timers.has(id)) {
      const timer = this.#clock.setTimer(delayMs, () => {
        this.#timers.delete(id);
        this.#registry.delete(id);
      });
      this.#timers.set(id, timer);
    }
  }

  /** Time for which an endpoint whose entry was removed stays a last resort. */
  #lastResortMs(maxAgeMs: number): number {
    const drainingMs = DRAIN_FRACTION * this.#drainMs - maxAgeMs;
    // State that is older than the drain time is that of an outage, which this
    // node may have learnt of from its peers.
    return drainingMs > 0 ? drainingMs : REREGISTRATION_GRACE_MS;
  }

  /** Cancels the removal of endpoint `id`, whose entry exists. */
  entryPresent(id: string): void {
    this.#timers.get(id)?.cancel();
    this.#timers.delete(id);
  }

  /** Cancels all timers. */
  close(): void {
    for (const timer of this.#timers.values()) {
      timer.cancel();
    }
    this.#timers.clear();
  }
}
