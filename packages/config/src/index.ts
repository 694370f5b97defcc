/** The versioned configuration: schema, patches and storage. */
export { applyPatch, replayRecord } from "./apply_patch.ts";
export type { ChunkReader } from "./assemble_snapshot.ts";
export {
  ConfigReplica,
  type ConfigReplicaOptions,
  type PatchOutcome,
  type PatchRequest,
} from "./config_replica.ts";
export { HEAD_KEY } from "./config_store.ts";
export {
  type ConfigHead,
  contentDigest,
  decodeHead,
  encodeHead,
  type PatchRecord,
} from "./config_head.ts";
export { type Json, mergePatch } from "./merge_patch.ts";
export type {
  ConfigBase,
  ConfigDocument,
  Member,
  Operation,
  Service,
} from "./config_schema.ts";
export { ConfigSnapshot, emptySnapshot } from "./config_snapshot.ts";
