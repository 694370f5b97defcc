import { create } from "@bufbuild/protobuf";
import type { Clock } from "@limpetshed/base";
import type { HeartbeatExtension, Membership } from "@limpetshed/membership";
import { peerpb } from "@limpetshed/peer";

/** Load of one service's endpoints. */
export interface ServiceLoad {
  inFlight: number;
  endpoints: number;
}

interface KnownSum extends ServiceLoad {
  sequence: bigint;
  heardAtMs: number;
}

const MAX_SUMS_SENT = 16;
/**
 * Age above which a node's load counts as 0, though its endpoints still
 * count: too low a mean is safe, too high a one is not.
 */
const STALE_MS = 1_000;
/** The same in a fleet whose sums travel on heartbeats alone. */
const STALE_LARGE_FLEET_MS = 15_000;
/** Nodes up to which sums are exchanged beside the heartbeats. */
export const SMALL_FLEET_NODES = 9;

/**
 * The load on each service, summed over the nodes that own its endpoints.
 * Own sums are exact; those of others are as old as the last message.
 */
export class LoadSums implements HeartbeatExtension {
  readonly #clock: Clock;
  readonly #membership: Membership;
  readonly #own: () => ReadonlyMap<string, ServiceLoad>;
  readonly #known = new Map<string, Map<string, KnownSum>>();
  readonly #told = new Set<string>();
  #sequence = 1n;
  readonly #heardFromMs = new Map<string, number>();

  /** `own` computes the load on the endpoints that this node owns. */
  constructor({ clock, membership, own }: {
    clock: Clock;
    membership: Membership;
    own: () => ReadonlyMap<string, ServiceLoad>;
  }) {
    this.#clock = clock;
    this.#membership = membership;
    this.#own = own;
    membership.addHeartbeatExtension(this);
  }

  writeTo(heartbeat: peerpb.Heartbeat): void {
    heartbeat.loadSums.push(...this.forMessage(MAX_SUMS_SENT));
  }

  readFrom(heartbeat: peerpb.Heartbeat): void {
    this.absorbSums(heartbeat.loadSums);
  }

  /** Own sums and the latest heard of others, at most `limit`. */
  forMessage(limit: number): peerpb.LoadSum[] {
    this.#sequence += 1n;
    const nodeId = this.#membership.self.id;
    const own = [...this.#ownWithZeros()].map(([service, load]) =>
      create(peerpb.LoadSumSchema, {
        nodeId,
        service,
        ...load,
        sequence: this.#sequence,
      })
    );
    return [...own, ...this.#latest(limit - own.length)];
  }

  /** Own sums; a service told before and no longer owned is told as 0. */
  #ownWithZeros(): ReadonlyMap<string, ServiceLoad> {
    const own = new Map(this.#own());
    for (const service of own.keys()) {
      this.#told.add(service);
    }
    for (const service of this.#told) {
      if (!own.has(service)) {
        own.set(service, { inFlight: 0, endpoints: 0 });
      }
    }
    return own;
  }

  /** Only the own sum of one service. */
  ownSum(service: string): peerpb.LoadSum[] {
    return this.forMessage(0).filter((sum) => sum.service === service);
  }

  /** Reads sums that a peer sent. */
  absorbSums(sums: readonly peerpb.LoadSum[]): void {
    for (const sum of sums) {
      if (sum.nodeId !== this.#membership.self.id) {
        this.#absorbOne(sum);
      }
    }
  }

  /** Of some nodes, the one whose sums are oldest, and their age. */
  oldest(
    nodeIds: readonly string[],
  ): { nodeId: string; ageMs: number } | undefined {
    const nowMs = this.#clock.monotonicMs();
    let found: { nodeId: string; ageMs: number } | undefined;
    for (const nodeId of nodeIds) {
      const heardAtMs = this.#heardFromMs.get(nodeId);
      const ageMs = nowMs - (heardAtMs ?? Number.NEGATIVE_INFINITY);
      if (found === undefined || ageMs > found.ageMs) {
        found = { nodeId, ageMs };
      }
    }
    return found;
  }

  /** Load of a service over all nodes that are believed live. */
  total(service: string): ServiceLoad {
    const own = this.#own().get(service);
    const total = {
      inFlight: own?.inFlight ?? 0,
      endpoints: own?.endpoints ?? 0,
    };
    const nowMs = this.#clock.monotonicMs();
    const { region } = this.#membership.self;
    const small =
      this.#membership.eligibleNodeIds(region).length <= SMALL_FLEET_NODES;
    const staleMs = small ? STALE_MS : STALE_LARGE_FLEET_MS;
    for (const [nodeId, sums] of this.#known) {
      const sum = sums.get(service);
      if (sum !== undefined && this.#isLive(nodeId)) {
        const fresh = nowMs - sum.heardAtMs <= staleMs;
        total.inFlight += fresh ? sum.inFlight : 0;
        total.endpoints += sum.endpoints;
      }
    }
    return total;
  }

  #absorbOne(sum: peerpb.LoadSum): void {
    const sums = this.#known.get(sum.nodeId) ?? new Map<string, KnownSum>();
    const known = sums.get(sum.service);
    if (known === undefined || sum.sequence > known.sequence) {
      const heardAtMs = this.#clock.monotonicMs() - sum.ageMs;
      this.#heardFromMs.set(sum.nodeId, heardAtMs);
      sums.set(sum.service, {
        inFlight: sum.inFlight,
        endpoints: sum.endpoints,
        sequence: sum.sequence,
        heardAtMs,
      });
    }
    this.#known.set(sum.nodeId, sums);
  }

  #latest(limit: number): peerpb.LoadSum[] {
    if (limit <= 0) {
      return [];
    }
    const all = [...this.#known].flatMap(([nodeId, sums]) =>
      [...sums].map(([service, sum]) => ({ nodeId, service, sum }))
    );
    const nowMs = this.#clock.monotonicMs();
    all.sort((a, b) => b.sum.heardAtMs - a.sum.heardAtMs);
    return all.slice(0, limit).map(({ nodeId, service, sum }) =>
      create(peerpb.LoadSumSchema, {
        nodeId,
        service,
        inFlight: sum.inFlight,
        endpoints: sum.endpoints,
        sequence: sum.sequence,
        ageMs: Math.round(nowMs - sum.heardAtMs),
      })
    );
  }

  /** A leaving node owns nothing any more. */
  #isLive(nodeId: string): boolean {
    const state = this.#membership.node(nodeId)?.state;
    return state === "alive" || state === "suspect";
  }
}
