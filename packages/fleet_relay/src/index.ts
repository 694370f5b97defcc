/** A relay node that is part of a fleet. */
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
export {
  StateSourceSelector,
  type StateSourceSelectorOptions,
} from "./state_source_selector.ts";
