import type { Clock, Timer } from "@limpetshed/base";
import type { EndpointRegistry } from "./endpoint_registry.ts";

/** How long endpoints whose entries lapsed while the store was away may take
 * to enter themselves again. */
const REJOIN_MS = 2_000;

/** Part of the time for which a leaving endpoint may still get requests that
 * is used where no other endpoint is left. */
const FADE_PART = 0.9;

/**
 * Answers entries that lapse while the store is away although their endpoints
 * live: a deletion seen right after an outage takes effect only when the
 * endpoint had time to come back. At other times an endpoint whose entry is
 * gone is the last resort as long as it may still get requests.
 */
export class DeferredRemovals {
  readonly #clock: Clock;
  readonly #registry: EndpointRegistry;
  readonly #lastOutageEndMs: () => number;
  readonly #drainMs: number;
  readonly #pending = new Map<string, Timer>();

  constructor({ clock, registry, lastOutageEndMs, drainMs }: {
    clock: Clock;
    registry: EndpointRegistry;
    /** Monotonic time at which the store last came back. */
    lastOutageEndMs: () => number;
    /** Time for which a leaving endpoint may still get requests. */
    drainMs: number;
  }) {
    this.#clock = clock;
    this.#registry = registry;
    this.#lastOutageEndMs = lastOutageEndMs;
    this.#drainMs = drainMs;
  }

  /** The entry of endpoint `id` is gone. */
  entryRemoved(id: string): void {
    const rejoinMs = this.#lastOutageEndMs() + REJOIN_MS -
      this.#clock.monotonicMs();
    const mayRejoin = rejoinMs > 0;
    const waitMs = mayRejoin ? rejoinMs : FADE_PART * this.#drainMs;
    if (!mayRejoin) {
      this.#registry.demote(id);
    }
    if (!this.#pending.has(id)) {
      const timer = this.#clock.setTimer(waitMs, () => {
        this.#pending.delete(id);
        this.#registry.delete(id);
      });
      this.#pending.set(id, timer);
    }
  }

  /** The entry of endpoint `id` is there. */
  entryPresent(id: string): void {
    this.#pending.get(id)?.cancel();
    this.#pending.delete(id);
  }

  /** Stops the timers. */
  close(): void {
    for (const timer of this.#pending.values()) {
      timer.cancel();
    }
    this.#pending.clear();
  }
}
