/** Synchronizes the configuration between nodes. */
export {
  ConfigSync,
  type ConfigSyncOptions,
  type NodeConfigVersion,
} from "./config_sync.ts";
