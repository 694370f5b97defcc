/** A relay node among others. */
export {
  FleetRelay,
  type FleetRelayOptions,
  type StateTargets,
} from "./fleet_relay.ts";
export type { FleetRelaySettings } from "./fleet_relay_settings.ts";
export {
  PlacementRecovery,
  type PlacementRecoveryOptions,
} from "./placement_recovery.ts";
export { StateSources, type StateSourcesOptions } from "./state_sources.ts";
