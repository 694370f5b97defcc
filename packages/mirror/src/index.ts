/** A local replica of watched keys, updated from the store or other nodes. */
export {
  type ChangeBatch,
  ChangeSource,
  type KeyChange,
  type Snapshot,
  type UpdateProvenance,
} from "./change_source.ts";
export {
  type ChangeOrigin,
  KeyMirror,
  type MirrorListener,
  type UpdateTimes,
} from "./key_mirror.ts";
export {
  MirrorFollower,
  type MirrorFollowerOptions,
} from "./mirror_follower.ts";
