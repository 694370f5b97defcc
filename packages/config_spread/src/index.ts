/** Spreads configuration versions between nodes. */
export {
  ConfigSpread,
  type ConfigSpreadOptions,
  type VersionStatus,
} from "./config_spread.ts";
