/** Placement policies and the chat directory. */
export {
  type BaselineOptions,
  BoundedLocalPlacement,
  RendezvousPlacement,
  TwoChoicesPlacement,
} from "./baseline_placements.ts";
export {
  ChatDirectory,
  type ChatDirectoryOptions,
  type ChatLookupResult,
} from "./chat_directory.ts";
export { type ChatKeyInput, type ChatKeys, chatKeys } from "./chat_keys.ts";
export {
  OwnerPlacement,
  type OwnerPlacementOptions,
} from "./owner_placement.ts";
export {
  type Assignment,
  type AssignmentOutcome,
  PlacementPolicy,
  type PlacementRequest,
} from "./placement_policy.ts";
