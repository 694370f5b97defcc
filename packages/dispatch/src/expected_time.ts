import type { Endpoint } from "./endpoint_registry.ts";
import type { LoadTracker } from "./load_tracker.ts";

/** Which estimate of an endpoint's speed counts. */
export type SpeedKind = "now" | "lasting" | "low" | "high";

const USUAL_SLOWNESS = 1;

/**
 * Expected time of a request at an endpoint, as a multiple of its time at an idle
 * endpoint of usual speed. Each request beside it makes it slower, up to twice as
 * slow when all slots are in use; beyond that it waits for a slot.
 */
export function expectedTime(
  { load, slots, slowness }: { load: number; slots: number; slowness: number },
): number {
  const places = Math.max(1, slots);
  const waits = Math.max(0, load + 1 - places) / places;
  return slowness * (1 + Math.min(1, load / places) + 2 * waits);
}

/** Expected times of requests at the endpoints that a node knows. */
export class ExpectedTimes {
  readonly #loads: LoadTracker;

  constructor({ loads }: { loads: LoadTracker }) {
    this.#loads = loads;
  }

  /** Whether the speed of any of the endpoints is known. Otherwise their loads
   * alone tell them apart. */
  isInformed(endpoints: readonly Endpoint[]): boolean {
    const { speeds } = this.#loads;
    return !speeds.isEmpty &&
      endpoints.some(({ key }) => speeds.estimate(key) !== undefined);
  }

  /** Expected time at the endpoint; endpoints of unknown speed count as usual. */
  of({ key, entry: { slots } }: Endpoint, kind: SpeedKind = "now"): number {
    return expectedTime({
      load: this.#loads.totalInFlight(key),
      slots,
      slowness: this.#loads.speeds.estimate(key)?.[kind] ?? USUAL_SLOWNESS,
    });
  }
}
