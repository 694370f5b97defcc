/** A relay node among others. */
export {
  FleetNode,
  type FleetNodeOptions,
  type StateTargets,
} from "./fleet_node.ts";
export type { FleetNodeSettings } from "./fleet_node_settings.ts";
export {
  PlacementRecovery,
  type PlacementRecoveryOptions,
} from "./placement_recovery.ts";
export { StateSources, type StateSourcesOptions } from "./state_sources.ts";
