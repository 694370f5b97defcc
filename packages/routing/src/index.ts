/** Routes, services and client accounts of one configuration version. */
export { checkConfig, type CheckConfigOptions } from "./check_config.ts";
export { compareConfigs, type ConfigChange } from "./compare_configs.ts";
export type { ConfigFinding, ConfigPath } from "./config_finding.ts";
export { CurrentConfig } from "./current_config.ts";
export { pickTarget } from "./pick_target.ts";
export { RouteTable } from "./route_table.ts";
export type {
  ClientAccount,
  RequestLimits,
  Route,
  RouteKind,
  RouteTarget,
  RoutingConfig,
  ServiceSpec,
} from "./routing_config.ts";
