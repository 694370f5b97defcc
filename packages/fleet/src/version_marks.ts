import type { Clock } from "@limpetshed/base";
import type { Lease, RegistrationStore } from "./node_registration.ts";

/** A software version of a service. */
export interface VersionMark {
  service: string;
  version: string;
}

/** Options of {@linkcode VersionMarks}. */
export interface VersionMarksOptions {
  clock: Clock;
  store: RegistrationStore;
  nodeId: string;
  /** Returns the key of a mark. */
  markKey: (mark: VersionMark) => string;
  /** The versions that this node has to keep marks of. */
  marks: () => readonly VersionMark[];
  /** Id of the node that last wrote a mark, as far as it is known. */
  markKeeper: (mark: VersionMark) => string | undefined;
  /** Latest era of the store that this node knows of. */
  era: () => number;
}

/** Keeps the mark of a version that has left for as long as streams that it
 * began may be resumed. */
const LEASE_TTL_MS = 60_000;
const RENEW_INTERVAL_MS = 15_000;

/** Keeps marks of software versions in the store, each under a lease of its own. */
export class VersionMarks {
  readonly #options: VersionMarksOptions;
  readonly #leases = new Map<string, { lease: Lease; renewedMs: number }>();

  constructor(options: VersionMarksOptions) {
    this.#options = options;
  }

  /** Writes the marks that are missing and renews the others; forgets those that
   * this node has not to keep any more. Rejects if the store fails. */
  async keep({ signal }: { signal: AbortSignal }): Promise<void> {
    const { markKey, marks } = this.#options;
    const current = new Map(marks().map((mark) => [markKey(mark), mark]));
    for (const key of [...this.#leases.keys()]) {
      if (!current.has(key)) {
        this.#leases.delete(key);
      }
    }
    for (const [key, mark] of current) {
      await this.#keepMark(key, mark, signal);
    }
  }

  async #keepMark(
    key: string,
    mark: VersionMark,
    signal: AbortSignal,
  ): Promise<void> {
    const { clock, store, era, nodeId, markKeeper } = this.#options;
    const now = clock.monotonicMs();
    const known = this.#leases.get(key);
    if (known !== undefined && known.lease.era >= era()) {
      if (now - known.renewedMs < RENEW_INTERVAL_MS) {
        return;
      }
      // A mark that another node wrote since is no longer under this lease.
      const isOwn = markKeeper(mark) === nodeId;
      if (isOwn && await store.renewLease(known.lease, { signal })) {
        known.renewedMs = now;
        return;
      }
    }
    this.#leases.delete(key);
    const lease = await store.grantLease(LEASE_TTL_MS, { signal });
    const value = JSON.stringify({ ...mark, keeper: nodeId });
    if (await store.put(key, { value, lease, signal })) {
      this.#leases.set(key, { lease, renewedMs: now });
    }
  }
}
