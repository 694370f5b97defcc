/** Total requests in flight to a service below which shares are not enforced. */
const MIN_IN_FLIGHT = 8;
/** Maximum multiple of an equal share that an account may have in flight. At
 * about ten requests in flight each, accounts with equal demand differ by this
 * much by chance. */
const MAX_SHARE_MULTIPLE = 1.5;

/**
 * Counts this node's requests in flight per service and client account, to keep
 * one account's traffic surge from crowding out the others. An account is above
 * its share when it has more than `MAX_SHARE_MULTIPLE` times an equal share of
 * the service's requests in flight. Callers reach nodes at random, so the local
 * counts are representative of the whole fleet.
 */
export class AccountLoads {
  readonly #services = new Map<string, Map<string, number>>();

  /** Records the start of a request. */
  begin(service: string, account: string): void {
    let loads = this.#services.get(service);
    if (loads === undefined) {
      loads = new Map();
      this.#services.set(service, loads);
    }
    loads.set(account, (loads.get(account) ?? 0) + 1);
  }

  /** Records the end of a request. */
  end(service: string, account: string): void {
    const loads = this.#services.get(service);
    const remaining = (loads?.get(account) ?? 0) - 1;
    if (remaining > 0) {
      loads!.set(account, remaining);
    } else {
      loads?.delete(account);
    }
  }

  /** Whether one more request would put the account above its share. */
  isAboveShare(service: string, account: string): boolean {
    const loads = this.#services.get(service) ?? new Map<string, number>();
    const total = [...loads.values()].reduce((sum, load) => sum + load, 0);
    const accounts = loads.size + (loads.has(account) ? 0 : 1);
    const next = (loads.get(account) ?? 0) + 1;
    return total >= MIN_IN_FLIGHT &&
      next > MAX_SHARE_MULTIPLE * (total + 1) / accounts;
  }
}
