import type { Clock } from "@limpetshed/base";

/** How long an endpoint's own figure is believed, milliseconds: the time of a
 * short chat. */
const REPORT_MAX_AGE_MS = 1_500;

interface Load {
  localInFlight: number;
  /** Requests of other nodes, from the endpoint's own figure. */
  reportedOthers: number;
  reportedAtMs: number;
}

/**
 * Requests in flight at each endpoint. Own requests are exact; those of other
 * nodes come from what the nodes tell each other and from the figure that
 * endpoints put on their answers, whichever is higher.
 */
export class LoadTracker {
  readonly #clock: Clock;
  readonly #loads = new Map<string, Load>();
  readonly #peers = new Map<
    string,
    { counts: Map<string, number>; atMs: number }
  >();
  /** Sums over the other nodes; undefined since one of them changed. */
  #peerTotals: Map<string, number> | undefined;

  constructor({ clock }: { clock: Clock }) {
    this.#clock = clock;
  }

  /** Counts a request that this node sends to `endpoint`. */
  begin(endpoint: string): void {
    this.#load(endpoint).localInFlight += 1;
  }

  /** Counts the end of a request. */
  end(endpoint: string): void {
    const load = this.#load(endpoint);
    load.localInFlight = Math.max(0, load.localInFlight - 1);
  }

  /** Takes the number of requests that an endpoint says it has. */
  reportInFlight(endpoint: string, inFlight: number): void {
    const load = this.#load(endpoint);
    load.reportedOthers = Math.max(0, inFlight - load.localInFlight);
    load.reportedAtMs = this.#clock.monotonicMs();
  }

  /** Takes the requests in flight of another node, by endpoint. */
  setPeerCounts(node: string, counts: Map<string, number>): void {
    this.#peers.set(node, { counts, atMs: this.#clock.monotonicMs() });
    this.#peerTotals = undefined;
  }

  /** Requests of this node in flight, by endpoint, without zeroes. */
  localCounts(): Map<string, number> {
    const counts = new Map<string, number>();
    for (const [endpoint, { localInFlight }] of this.#loads) {
      if (localInFlight > 0) {
        counts.set(endpoint, localInFlight);
      }
    }
    return counts;
  }

  /** Requests of this node in flight at `endpoint`. */
  localInFlight(endpoint: string): number {
    return this.#loads.get(endpoint)?.localInFlight ?? 0;
  }

  /** Requests of all nodes in flight at `endpoint`, as far as known. */
  totalInFlight(endpoint: string): number {
    const load = this.#loads.get(endpoint);
    const told = this.#totalsOfPeers().get(endpoint) ?? 0;
    if (load === undefined) {
      return told;
    }
    const age = this.#clock.monotonicMs() - load.reportedAtMs;
    const reported = age <= REPORT_MAX_AGE_MS ? load.reportedOthers : 0;
    return load.localInFlight + Math.max(told, reported);
  }

  /** Forgets an endpoint that is gone. */
  forget(endpoint: string): void {
    const load = this.#loads.get(endpoint);
    if (load !== undefined && load.localInFlight === 0) {
      this.#loads.delete(endpoint);
    }
  }

  /** Drops figures of nodes that have not told any for `maxAgeMs`
   * milliseconds. */
  expirePeers(maxAgeMs: number): void {
    const oldest = this.#clock.monotonicMs() - maxAgeMs;
    for (const [node, { atMs }] of this.#peers) {
      if (atMs < oldest) {
        this.#peers.delete(node);
        this.#peerTotals = undefined;
      }
    }
  }

  #totalsOfPeers(): ReadonlyMap<string, number> {
    if (this.#peerTotals !== undefined) {
      return this.#peerTotals;
    }
    const totals = new Map<string, number>();
    for (const { counts } of this.#peers.values()) {
      for (const [endpoint, count] of counts) {
        totals.set(endpoint, (totals.get(endpoint) ?? 0) + count);
      }
    }
    this.#peerTotals = totals;
    return totals;
  }

  #load(endpoint: string): Load {
    let load = this.#loads.get(endpoint);
    if (load === undefined) {
      load = {
        localInFlight: 0,
        reportedOthers: 0,
        reportedAtMs: Number.NEGATIVE_INFINITY,
      };
      this.#loads.set(endpoint, load);
    }
    return load;
  }
}
