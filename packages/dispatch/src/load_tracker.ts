import type { Clock } from "@limpetshed/base";
import type { EndpointLoad } from "./endpoint_load.ts";
import { EndpointSpeeds } from "./endpoint_speeds.ts";

/** Maximum age of a load reported by an endpoint; about the duration of a short
 * chat request. */
const REPORT_MAX_AGE_MS = 1_500;

interface Load {
  localInFlight: number;
  /** Other nodes' requests in flight, derived from the load that the endpoint
   * reported. */
  otherNodesInFlight: number;
  reportedAtMs: number;
}

/**
 * Tracks requests in flight per endpoint. This node's requests are counted
 * exactly. Those of other nodes are the higher of the counts that the nodes
 * exchange and the load that endpoints report in their responses. Endpoints are
 * identified by their `key`.
 */
export class LoadTracker {
  /** How fast the endpoints are that say so. */
  readonly speeds: EndpointSpeeds;
  readonly #clock: Clock;
  readonly #loads = new Map<string, Load>();
  readonly #peers = new Map<
    string,
    { counts: Map<string, number>; atMs: number }
  >();
  /** Sums over the other nodes, by endpoint. Kept up to date with each change: to
   * add up all nodes again would cost nodes x endpoints for each message. */
  readonly #peerTotals = new Map<string, number>();

  constructor({ clock, followsSpeeds = true }: {
    clock: Clock;
    /** Whether what endpoints say of their speed is used. */
    followsSpeeds?: boolean;
  }) {
    this.#clock = clock;
    this.speeds = new EndpointSpeeds({ clock, isEnabled: followsSpeeds });
  }

  /** Records that this node starts a request to `endpoint`. */
  begin(endpoint: string): void {
    this.#load(endpoint).localInFlight += 1;
  }

  /** Records the end of a request to `endpoint`. */
  end(endpoint: string): void {
    const load = this.#load(endpoint);
    load.localInFlight = Math.max(0, load.localInFlight - 1);
  }

  /** Records what an endpoint reports, as far as it can be read. */
  recordReport(
    endpoint: string,
    { running, waiting, slowness }: EndpointLoad,
  ): void {
    if (running !== undefined && waiting !== undefined) {
      this.recordReportedInFlight(endpoint, running + waiting);
    }
    if (slowness !== undefined) {
      this.speeds.record(endpoint, slowness);
    }
  }

  /** Records an endpoint's report of its requests in flight. */
  recordReportedInFlight(endpoint: string, inFlight: number): void {
    const load = this.#load(endpoint);
    load.otherNodesInFlight = Math.max(0, inFlight - load.localInFlight);
    load.reportedAtMs = this.#clock.monotonicMs();
  }

  /** Replaces another node's requests in flight, by endpoint. */
  setPeerCounts(node: string, counts: Map<string, number>): void {
    this.#addToTotals(this.#peers.get(node)?.counts, -1);
    this.#addToTotals(counts, 1);
    this.#peers.set(node, { counts, atMs: this.#clock.monotonicMs() });
  }

  /** Other nodes' requests in flight, by endpoint, and when they told them. */
  peerCounts(): Iterable<
    { counts: ReadonlyMap<string, number>; atMs: number }
  > {
    return this.#peers.values();
  }

  /** This node's requests in flight by endpoint; endpoints with none are left
   * out. */
  localCounts(): Map<string, number> {
    const counts = new Map<string, number>();
    for (const [endpoint, { localInFlight }] of this.#loads) {
      if (localInFlight > 0) {
        counts.set(endpoint, localInFlight);
      }
    }
    return counts;
  }

  /** This node's requests in flight at `endpoint`. */
  localInFlight(endpoint: string): number {
    return this.#loads.get(endpoint)?.localInFlight ?? 0;
  }

  /** Estimate of all nodes' requests in flight at `endpoint`. */
  totalInFlight(endpoint: string): number {
    const load = this.#loads.get(endpoint);
    const fromPeers = this.#peerTotals.get(endpoint) ?? 0;
    if (load === undefined) {
      return fromPeers;
    }
    const ageMs = this.#clock.monotonicMs() - load.reportedAtMs;
    const reported = ageMs <= REPORT_MAX_AGE_MS ? load.otherNodesInFlight : 0;
    return load.localInFlight + Math.max(fromPeers, reported);
  }

  /** Whether most of the requests in flight at the endpoints are this node's, so
   * that the loads are exact. */
  hasMostOf(endpoints: readonly { key: string }[]): boolean {
    const sum = (count: (endpoint: string) => number) =>
      endpoints.reduce((total, { key }) => total + count(key), 0);
    return 2 * sum((key) => this.localInFlight(key)) >
      sum((key) => this.totalInFlight(key));
  }

  /** Discards the state of a removed endpoint, unless this node still has
   * requests there. */
  forget(endpoint: string): void {
    this.speeds.forget(endpoint);
    const load = this.#loads.get(endpoint);
    if (load !== undefined && load.localInFlight === 0) {
      this.#loads.delete(endpoint);
    }
  }

  /** Discards the counts of nodes that were last updated more than `maxAgeMs`
   * milliseconds ago. */
  expirePeers(maxAgeMs: number): void {
    const oldestMs = this.#clock.monotonicMs() - maxAgeMs;
    for (const [node, { counts, atMs }] of this.#peers) {
      if (atMs < oldestMs) {
        this.#addToTotals(counts, -1);
        this.#peers.delete(node);
      }
    }
  }

  #addToTotals(
    counts: ReadonlyMap<string, number> | undefined,
    sign: 1 | -1,
  ): void {
    for (const [endpoint, count] of counts ?? []) {
      const total = (this.#peerTotals.get(endpoint) ?? 0) + sign * count;
      if (total === 0) {
        this.#peerTotals.delete(endpoint);
      } else {
        this.#peerTotals.set(endpoint, total);
      }
    }
  }

  #load(endpoint: string): Load {
    let load = this.#loads.get(endpoint);
    if (load === undefined) {
      load = {
        localInFlight: 0,
        otherNodesInFlight: 0,
        reportedAtMs: Number.NEGATIVE_INFINITY,
      };
      this.#loads.set(endpoint, load);
    }
    return load;
  }
}
