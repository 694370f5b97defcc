import type { Clock } from "@limpetshed/base";
import { fleetShare } from "./fleet_share.ts";

/** What an endpoint's response says of its brittleness: it goes down if it has to
 * reject more requests in a second than it names. */
export type Brittleness =
  | { state: "none" }
  | { state: "named"; rejectionsPerS: number }
  | { state: "malformed" };

/** Options of {@linkcode BrittleEndpoints}. */
export interface BrittleEndpointsOptions {
  clock: Clock;
  nodeId: string;
  /** Ids of all nodes that may be running, including this one. */
  nodeIds: () => readonly string[];
}

/** Load of an endpoint that a request would be added to. */
export interface BrittleLoad {
  /** Requests that it executes concurrently. */
  slots: number;
  /** Estimate of all nodes' requests in flight. */
  total: number;
  /** This node's requests in flight. */
  local: number;
}

/** Time after the last word of it for which the endpoints of a service are taken as
 * brittle; those that are say so in every response. */
const MEMORY_MS = 3_000;
/** Time without requests after a rejection by an endpoint that names a limit which
 * all nodes together do not reach with one rejection each. */
const MIN_PAUSE_MS = 1_000;
const MAX_PAUSE_MS = 5_000;

interface BrittleState {
  rejectionsPerS: number;
  heardMs: number;
}

/**
 * Keeps requests from endpoints that go down when they have to reject too many:
 * each node has its share of the slots, so that none waits there, and a rejection
 * pauses the node that received it for as long as keeps the whole fleet within the
 * limit. What one endpoint says holds for its service: a node without a share of an
 * endpoint does not hear from it.
 */
export class BrittleEndpoints {
  readonly #options: BrittleEndpointsOptions;
  readonly #services = new Map<string, BrittleState>();
  /** Monotonic time until which nothing is sent, by endpoint key. */
  readonly #pausedUntilMs = new Map<string, number>();

  constructor(options: BrittleEndpointsOptions) {
    this.#options = options;
  }

  /** Records that an endpoint of the service names its limit of rejections. */
  recordNamed(service: string, rejectionsPerS: number): void {
    const heardMs = this.#options.clock.monotonicMs();
    this.#services.set(service, { rejectionsPerS, heardMs });
  }

  /** Records that an endpoint rejected a request for want of room. */
  recordRejection(service: string, key: string): void {
    const state = this.#current(service);
    if (state !== undefined) {
      const { clock, nodeIds } = this.#options;
      const nodesPerRejection = nodeIds().length /
        Math.max(1, state.rejectionsPerS);
      const pauseMs = MIN_PAUSE_MS * Math.max(1, nodesPerRejection);
      this.#pausedUntilMs.set(
        key,
        clock.monotonicMs() + Math.min(MAX_PAUSE_MS, pauseMs),
      );
    }
  }

  /** Whether an endpoint of the service has said lately that it is brittle. */
  isBrittle(service: string): boolean {
    return this.#current(service) !== undefined;
  }

  /** Whether this node may add a request to the load of an endpoint of a brittle
   * service. */
  allows(key: string, { slots, total, local }: BrittleLoad): boolean {
    const { clock, nodeId, nodeIds } = this.#options;
    if (clock.monotonicMs() < (this.#pausedUntilMs.get(key) ?? 0)) {
      return false;
    }
    const { burst } = fleetShare({
      key,
      requests: slots,
      nodeId,
      nodeIds: nodeIds(),
    });
    // The counts of other nodes are old: more nodes than there is room for would
    // see the same free slot.
    return total < slots && local < Math.floor(burst);
  }

  /** Discards the state of a removed endpoint. */
  forget(key: string): void {
    this.#pausedUntilMs.delete(key);
  }

  #current(service: string): BrittleState | undefined {
    const state = this.#services.get(service);
    const isOver = state === undefined ||
      this.#options.clock.monotonicMs() - state.heardMs > MEMORY_MS;
    return isOver ? undefined : state;
  }
}
