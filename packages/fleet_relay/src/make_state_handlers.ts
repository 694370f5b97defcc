import type { LoadExchangeOptions } from "@limpetshed/fleet";
import type { RelayNode } from "@limpetshed/relay";
import { decodeCachedParts, encodeCachedParts } from "./cached_parts.ts";
import { decodeCrashReports, encodeCrashReports } from "./crash_reports.ts";
import { makeLimitHandlers } from "./limit_handlers.ts";

/** Connects the state of a node to the exchange with other nodes. */
export function makeStateHandlers(
  {
    endpointLoads,
    prefixCacheIndex,
    crashSuspects,
    endpointLimiter,
    registry,
    leavings,
  }: RelayNode,
): Pick<
  LoadExchangeOptions,
  | "localInFlight"
  | "takePlacements"
  | "takeCrashReports"
  | "repeatedCrashReports"
  | "onPeerInFlight"
  | "onPlacements"
  | "onCrashReports"
  | "takeLeavings"
  | "onLeavings"
  | "limits"
> {
  return {
    localInFlight: () => endpointLoads.localCounts(),
    takePlacements: () => encodeCachedParts(prefixCacheIndex.takeUpdates()),
    takeCrashReports: () => {
      const makeReports = crashSuspects.takeReports();
      return () => encodeCrashReports(makeReports());
    },
    repeatedCrashReports: () =>
      encodeCrashReports(crashSuspects.repeatedReports()),
    onPeerInFlight: (nodeId, counts) =>
      endpointLoads.setPeerCounts(nodeId, counts),
    onPlacements: (placements) =>
      prefixCacheIndex.applyPeerUpdates(decodeCachedParts(placements)),
    onCrashReports: (crashReports) =>
      crashSuspects.applyPeerReports(decodeCrashReports(crashReports)),
    takeLeavings: () => registry.takeToldLeavings(),
    onLeavings: (endpoints) =>
      endpoints.forEach((endpoint) => leavings.record(endpoint, "peer")),
    limits: makeLimitHandlers(endpointLimiter),
  };
}
