/** A local replica of watched keys, updated from the store or other nodes. */
export {
  type ChangeBatch,
  ChangeSource,
  type KeyChange,
  type Snapshot,
} from "./change_source.ts";
export { KeyMirror, type MirrorListener } from "./key_mirror.ts";
export {
  MirrorFollower,
  type MirrorFollowerOptions,
} from "./mirror_follower.ts";
