/** Smoothing factor of the moving averages. */
const EWMA_WEIGHT = 0.05;

/** A request that an endpoint has executed. */
export interface ExecutedRequest {
  service: string;
  /** Time that it spent at the endpoint, waiting included, milliseconds. */
  durationMs: number;
  /** Requests in flight at the endpoint when it was sent, as far as known. */
  load: number;
  /** Slots of the endpoint. */
  slots: number;
}

interface Averages {
  durationMs: number;
  /** Duration as a multiple of the execution time, expected from the load. */
  stretch: number;
}

/**
 * Estimates, per service, how long a request occupies a slot. The time spent at
 * an endpoint alone does not tell: it grows with the queue there. It is divided
 * by the stretch that the load makes expect. Both are averaged first, since the
 * load of a single request is known with a large error only.
 */
export class ExecutionTimes {
  readonly #services = new Map<string, Averages>();

  /** Records a request that was executed. */
  record({ service, durationMs, load, slots }: ExecutedRequest): void {
    const stretch = 1 + Math.max(0, load + 1 - slots) / Math.max(1, slots);
    const averages = this.#services.get(service);
    if (averages === undefined) {
      this.#services.set(service, { durationMs, stretch });
    } else {
      averages.durationMs += EWMA_WEIGHT * (durationMs - averages.durationMs);
      averages.stretch += EWMA_WEIGHT * (stretch - averages.stretch);
    }
  }

  /** Mean time for which a request occupies a slot, milliseconds; 0 before the
   * first one is recorded. */
  meanMs(service: string): number {
    const averages = this.#services.get(service);
    return averages === undefined ? 0 : averages.durationMs / averages.stretch;
  }
}
