/** Weight of the newest request in the mean. */
const WEIGHT = 0.05;

/** How long requests occupy the endpoints of each service, on average. */
export class ServiceLatency {
  readonly #means = new Map<string, number>();

  /** Notes that a request was at an endpoint of the service for `heldMs`
   * milliseconds, waiting included. */
  record(service: string, heldMs: number): void {
    const mean = this.#means.get(service);
    this.#means.set(
      service,
      mean === undefined ? heldMs : mean + WEIGHT * (heldMs - mean),
    );
  }

  /** Mean time that a request is at an endpoint, milliseconds; 0 before the
   * first has ended. */
  meanMs(service: string): number {
    return this.#means.get(service) ?? 0;
  }
}
