/** The numbered configuration. */
export { applyPatch, applyRecord } from "./apply_patch.ts";
export type { ChunkReader } from "./assemble.ts";
export {
  ConfigKeeper,
  type ConfigKeeperOptions,
  type PatchOutcome,
  type PatchRequest,
} from "./config_keeper.ts";
export { HEAD_KEY } from "./config_store.ts";
export {
  type ConfigHead,
  contentDigest,
  decodeHead,
  encodeHead,
  type PatchRecord,
} from "./head.ts";
export { type Json, mergePatch } from "./merge_patch.ts";
export type {
  ConfigBase,
  ConfigDocument,
  Member,
  Operation,
  Service,
} from "./schema.ts";
export { ConfigSnapshot, emptySnapshot } from "./snapshot.ts";
