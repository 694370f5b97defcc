import type { Clock } from "@limpetshed/base";
import {
  type AccountLoads,
  type EndpointChooser,
  type EndpointChooserOptions,
  type ExecutionTimes,
  GatedChooser,
  OverloadGuard,
  RecentLoads,
  ScarceSlots,
  type VersionGate,
} from "@limpetshed/dispatch";
import type { ConnectionPool } from "./connection_pool.ts";

/** Options of {@linkcode makeChooser}. */
export interface MakeChooserOptions extends
  Omit<
    EndpointChooserOptions,
    "overloadGuard" | "isConnectionLimitReached" | "nodeCount"
  > {
  clock: Clock;
  accounts: AccountLoads;
  gate: VersionGate;
  executionTimes: ExecutionTimes;
  /** Returns a number in `[0, 1)`. */
  random: () => number;
  /** Whether requests of services with fewer slots than nodes are judged by the
   * load of the whole service. */
  hasUnevenLoad: boolean;
  pool: Pick<ConnectionPool, "openCount">;
  /** Ids of all nodes that may be running, including this one. */
  nodeIds: () => readonly string[];
}

/** Fraction of an endpoint's connection limit shared by the current nodes; the
 * rest is reserved for nodes that are starting. */
const FLEET_CONNECTION_FRACTION = 0.8;

/** Makes the chooser of a node, which sheds load when slots run out and keeps to
 * this node's part of the endpoints' connection limits. */
export function makeChooser(
  {
    accounts,
    executionTimes,
    random,
    pool,
    nodeIds,
    hasUnevenLoad,
    ...options
  }: MakeChooserOptions,
): EndpointChooser {
  return new GatedChooser({
    ...options,
    overloadGuard: new OverloadGuard({
      loads: options.loads,
      latency: options.latency,
      accounts,
      scarceSlots: hasUnevenLoad
        ? new ScarceSlots({
          loads: new RecentLoads(options),
          executionTimes,
          random,
        })
        : undefined,
    }),
    nodeCount: () => nodeIds().length,
    isConnectionLimitReached: (address, { maxConnections }) => {
      const share = FLEET_CONNECTION_FRACTION * maxConnections /
        nodeIds().length;
      return pool.openCount(address) >= Math.max(1, Math.floor(share));
    },
  });
}
