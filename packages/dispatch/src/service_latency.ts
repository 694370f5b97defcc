/** Smoothing factor of the moving average. */
const EWMA_WEIGHT = 0.05;

/** Exponential moving average, per service, of the time that requests spend at
 * an endpoint. */
export class ServiceLatency {
  readonly #meansMs = new Map<string, number>();

  /** Records the time that a request spent at an endpoint of the service,
   * including queueing there. */
  record(service: string, durationMs: number): void {
    const mean = this.#meansMs.get(service);
    this.#meansMs.set(
      service,
      mean === undefined
        ? durationMs
        : mean + EWMA_WEIGHT * (durationMs - mean),
    );
  }

  /** Mean time that a request spends at an endpoint, milliseconds; 0 before the
   * first one is recorded. */
  meanMs(service: string): number {
    return this.#meansMs.get(service) ?? 0;
  }
}
