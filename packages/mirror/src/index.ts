/** A local replica of watched keys, updated from the store or other nodes. */
export {
  type ChangeBatch,
  type ChangeReader,
  ChangeSource,
  type KeyChange,
  type ReadChangesOptions,
  type Snapshot,
  type UpdateProvenance,
} from "./change_source.ts";
export { type KeyClass } from "./key_class.ts";
export {
  type ChangeOrigin,
  type ConfirmationListener,
  type EraChange,
  KeyMirror,
  type MirrorListener,
  type UpdateTimes,
} from "./key_mirror.ts";
export {
  MirrorFollower,
  type MirrorFollowerOptions,
} from "./mirror_follower.ts";
export {
  makePropagationBudget,
  type PropagationBudget,
} from "./propagation_budget.ts";
export {
  StateRefresher,
  type StateRefresherOptions,
} from "./state_refresher.ts";
export {
  StateConfirmer,
  type StateConfirmerOptions,
} from "./state_confirmer.ts";
export {
  comparePositions,
  isEra,
  NO_POSITION,
  type StorePosition,
  UNNAMED_ERA,
} from "./store_position.ts";
export { ConfirmationWaiters } from "./confirmation_waiters.ts";
