/** A local copy of watched keys, fed by the store or by other nodes. */
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
