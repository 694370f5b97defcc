/** Requests in flight below which shares mean little. */
const MIN_IN_FLIGHT = 8;
/** Multiple of an equal part that counts as above the share: accounts of equal
 * demand differ by as much by chance at some ten requests in flight each. */
const SHARE_MULTIPLE = 1.5;

/**
 * Requests of this node in flight by service and client account. Answers one
 * account's surge: an account is above its share when it has more in flight
 * well over an equal part for each account that has any. Callers reach nodes at
 * random, so that a node's own figures stand for the fleet's.
 */
export class AccountLoads {
  readonly #services = new Map<string, Map<string, number>>();

  /** Counts a request. */
  begin(service: string, account: string): void {
    let loads = this.#services.get(service);
    if (loads === undefined) {
      loads = new Map();
      this.#services.set(service, loads);
    }
    loads.set(account, (loads.get(account) ?? 0) + 1);
  }

  /** Counts the end of a request. */
  end(service: string, account: string): void {
    const loads = this.#services.get(service);
    const left = (loads?.get(account) ?? 0) - 1;
    if (left > 0) {
      loads!.set(account, left);
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
      next > SHARE_MULTIPLE * (total + 1) / accounts;
  }
}
