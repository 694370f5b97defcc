import type { KeyMirror } from "@limpetshed/mirror";
import type { RelayMetrics } from "@limpetshed/observe";

/** Options of {@linkcode StateAges}. */
export interface StateAgesOptions {
  mirror: KeyMirror;
  metrics: RelayMetrics;
  /** Time without a confirmation that counts as an outage of the store,
   * milliseconds: a failed call is made up for sooner. */
  outageMs: number;
}

/** Measures how late changes of shared state are applied and notices outages of
 * the store, also those that only its sources saw. */
export class StateAges {
  #lastOutageEndMs = Number.NEGATIVE_INFINITY;

  constructor({ mirror, metrics, outageMs }: StateAgesOptions) {
    mirror.onConfirmation(({ keyClass, ageMs, receivedMs }) => {
      // A bulky class can be late because its changes take long to transfer.
      const isOutage = keyClass.isBulky !== true && ageMs > outageMs;
      if (isOutage && Number.isFinite(ageMs)) {
        this.#lastOutageEndMs = receivedMs;
      }
    });
    // Entries that the copy lacks come back as after an outage.
    mirror.onEraChange(({ receivedMs }) => {
      this.#lastOutageEndMs = receivedMs;
    });
    mirror.onChange((_change, { maxAgeMs, keyClass }) => {
      if (Number.isFinite(maxAgeMs)) {
        const labels = { keys: keyClass };
        metrics.timing("limpetshed_change_age_seconds", maxAgeMs, labels);
      }
    });
  }

  /** Monotonic time at which the last outage ended; negative infinity if there
   * was none. */
  get lastOutageEndMs(): number {
    return this.#lastOutageEndMs;
  }
}
