/** A relay node that is part of a fleet. */
export { FleetRelay, type FleetRelayOptions } from "./fleet_relay.ts";
export { ConfigIntake, type ConfigIntakeOptions } from "./config_intake.ts";
export { type StateTargets } from "./state_application.ts";
export type { FleetRelaySettings } from "./fleet_relay_settings.ts";
export {
  PlacementRecovery,
  type PlacementRecoveryOptions,
} from "./placement_recovery.ts";
export {
  StateSourceSelector,
  type StateSourceSelectorOptions,
} from "./state_source_selector.ts";
export type { RolloutStore } from "./rollout_coordination.ts";
