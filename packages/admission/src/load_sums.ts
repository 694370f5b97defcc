import { create } from "@bufbuild/protobuf";
import type { Clock } from "@limpetshed/base";
import type { HeartbeatContributor, Membership } from "@limpetshed/membership";
import { peerpb } from "@limpetshed/peer";

/** Load summed over endpoints of one service. */
export interface ServiceLoad {
  /** Requests in flight on these endpoints. */
  inFlight: number;
  /** Number of in-service endpoints. */
  endpoints: number;
}

interface ReceivedSum extends ServiceLoad {
  sequence: bigint;
  measuredAtMs: number;
}

const MAX_SUMS_PER_HEARTBEAT = 16;
/**
 * Age above which a node's load counts as 0 while its endpoints still count:
 * an underestimated mean is safe, as it only lowers the limits; an
 * overestimated one is not, as it raises them.
 */
const STALE_AFTER_MS = 1_000;
/** Replaces `STALE_AFTER_MS` in a large fleet: only heartbeats carry sums. */
const LARGE_FLEET_STALE_AFTER_MS = 15_000;
/** Number of nodes up to which sums are also exchanged between heartbeats. */
export const SMALL_FLEET_NODES = 9;

/**
 * Aggregates the load of each service over the nodes that own its endpoints.
 * Own sums are current; those of other nodes are as of the last message that
 * carried them, sent by the node itself or relayed by another.
 */
export class LoadSums implements HeartbeatContributor {
  readonly #clock: Clock;
  readonly #membership: Membership;
  readonly #computeOwnLoads: () => ReadonlyMap<string, ServiceLoad>;
  readonly #received = new Map<string, Map<string, ReceivedSum>>();
  readonly #announcedServices = new Set<string>();
  #sequence = 1n;
  readonly #lastMeasuredAtMs = new Map<string, number>();

  /** `computeOwnLoads` sums the load on the endpoints that this node owns. */
  constructor({ clock, membership, computeOwnLoads }: {
    clock: Clock;
    membership: Membership;
    computeOwnLoads: () => ReadonlyMap<string, ServiceLoad>;
  }) {
    this.#clock = clock;
    this.#membership = membership;
    this.#computeOwnLoads = computeOwnLoads;
    membership.addHeartbeatContributor(this);
  }

  writeTo(heartbeat: peerpb.Heartbeat): void {
    heartbeat.loadSums.push(...this.collectSums(MAX_SUMS_PER_HEARTBEAT));
  }

  readFrom(heartbeat: peerpb.Heartbeat): void {
    this.mergeSums(heartbeat.loadSums);
  }

  /**
   * Returns all own sums, and the latest received ones as long as the total
   * does not exceed `limit`.
   */
  collectSums(limit: number): peerpb.LoadSum[] {
    this.#sequence += 1n;
    const nodeId = this.#membership.self.id;
    const own = [...this.#ownLoadsWithRemoved()].map(([service, load]) =>
      create(peerpb.LoadSumSchema, {
        nodeId,
        service,
        ...load,
        sequence: this.#sequence,
      })
    );
    return [...own, ...this.#latestReceived(limit - own.length)];
  }

  /**
   * Own sums. Services announced before and no longer owned are included as 0,
   * so that peers replace the sum they hold.
   */
  #ownLoadsWithRemoved(): ReadonlyMap<string, ServiceLoad> {
    const own = new Map(this.#computeOwnLoads());
    for (const service of own.keys()) {
      this.#announcedServices.add(service);
    }
    for (const service of this.#announcedServices) {
      if (!own.has(service)) {
        own.set(service, { inFlight: 0, endpoints: 0 });
      }
    }
    return own;
  }

  /** Returns this node's sum of one service, as a list of at most one. */
  ownSum(service: string): peerpb.LoadSum[] {
    return this.collectSums(0).filter((sum) => sum.service === service);
  }

  /** Merges sums received from a peer. */
  mergeSums(sums: readonly peerpb.LoadSum[]): void {
    for (const sum of sums) {
      if (sum.nodeId !== this.#membership.self.id) {
        this.#mergeSum(sum);
      }
    }
  }

  /**
   * Returns which of the given nodes has the oldest sums, and their age, which
   * is infinite for a node whose sums were never received.
   */
  findStalestNode(
    nodeIds: readonly string[],
  ): { nodeId: string; ageMs: number } | undefined {
    const nowMs = this.#clock.monotonicMs();
    let stalest: { nodeId: string; ageMs: number } | undefined;
    for (const nodeId of nodeIds) {
      const measuredAtMs = this.#lastMeasuredAtMs.get(nodeId);
      const ageMs = nowMs - (measuredAtMs ?? Number.NEGATIVE_INFINITY);
      if (stalest === undefined || ageMs > stalest.ageMs) {
        stalest = { nodeId, ageMs };
      }
    }
    return stalest;
  }

  /** Returns the load of a service over all alive or suspect nodes. */
  totalLoad(service: string): ServiceLoad {
    const own = this.#computeOwnLoads().get(service);
    const total = {
      inFlight: own?.inFlight ?? 0,
      endpoints: own?.endpoints ?? 0,
    };
    const nowMs = this.#clock.monotonicMs();
    const { region } = this.#membership.self;
    const isSmallFleet =
      this.#membership.eligibleNodeIds(region).length <= SMALL_FLEET_NODES;
    const staleAfterMs = isSmallFleet
      ? STALE_AFTER_MS
      : LARGE_FLEET_STALE_AFTER_MS;
    for (const [nodeId, sums] of this.#received) {
      const sum = sums.get(service);
      if (sum !== undefined && this.#mayOwnEndpoints(nodeId)) {
        const fresh = nowMs - sum.measuredAtMs <= staleAfterMs;
        total.inFlight += fresh ? sum.inFlight : 0;
        total.endpoints += sum.endpoints;
      }
    }
    return total;
  }

  #mergeSum(sum: peerpb.LoadSum): void {
    const sums = this.#received.get(sum.nodeId) ??
      new Map<string, ReceivedSum>();
    const known = sums.get(sum.service);
    if (known === undefined || sum.sequence > known.sequence) {
      const measuredAtMs = this.#clock.monotonicMs() - sum.ageMs;
      this.#lastMeasuredAtMs.set(sum.nodeId, measuredAtMs);
      sums.set(sum.service, {
        inFlight: sum.inFlight,
        endpoints: sum.endpoints,
        sequence: sum.sequence,
        measuredAtMs,
      });
    }
    this.#received.set(sum.nodeId, sums);
  }

  #latestReceived(limit: number): peerpb.LoadSum[] {
    if (limit <= 0) {
      return [];
    }
    const received = [...this.#received].flatMap(([nodeId, sums]) =>
      [...sums].map(([service, sum]) => ({ nodeId, service, sum }))
    );
    const nowMs = this.#clock.monotonicMs();
    received.sort((a, b) => b.sum.measuredAtMs - a.sum.measuredAtMs);
    return received.slice(0, limit).map(({ nodeId, service, sum }) =>
      create(peerpb.LoadSumSchema, {
        nodeId,
        service,
        inFlight: sum.inFlight,
        endpoints: sum.endpoints,
        sequence: sum.sequence,
        ageMs: Math.round(nowMs - sum.measuredAtMs),
      })
    );
  }

  /** Leaving nodes no longer own endpoints. */
  #mayOwnEndpoints(nodeId: string): boolean {
    const state = this.#membership.node(nodeId)?.state;
    return state === "alive" || state === "suspect";
  }
}
