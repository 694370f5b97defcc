/** Decisions on where a request goes and whether it is sent again. */
export {
  type AttemptCounts,
  isRepeatable,
  mayTryAgain,
  type SendOutcome,
} from "./attempt_policy.ts";
export {
  AffinityPolicy,
  LastSharedPolicy,
  LeastLoadedPolicy,
} from "./baseline_policies.ts";
export { AccountLoads } from "./account_loads.ts";
export { type ColdLimits, ColdStartGate } from "./cold_start_gate.ts";
export {
  type CrashReport,
  type CrashSuspect,
  CrashSuspects,
} from "./crash_suspects.ts";
export {
  type Choice,
  type ChoiceRequest,
  EndpointChooser,
  type EndpointChooserOptions,
  type NoChoice,
} from "./endpoint_chooser.ts";
export { Departures } from "./departures.ts";
export type { EndpointEntry } from "./endpoint_entry.ts";
export {
  EndpointPolicy,
  type Placement,
  type PolicyRequest,
} from "./endpoint_policy.ts";
export {
  type DropReason,
  type Endpoint,
  EndpointRegistry,
  type EndpointRegistryOptions,
} from "./endpoint_registry.ts";
export { LoadBoard } from "./load_board.ts";
export {
  type HeldPart,
  PrefixHolders,
  type PrefixHoldersOptions,
} from "./prefix_holders.ts";
export {
  type Admission,
  OverloadGuard,
  type OverloadRefusal,
  type OverloadRequest,
} from "./overload_guard.ts";
export { ServicePace } from "./service_pace.ts";
export { PrefixPolicy, type PrefixPolicyOptions } from "./prefix_policy.ts";
export type { PromptFacts, PromptPart } from "./prompt_facts.ts";
export { RetryAllowance, type RetryLimits } from "./retry_allowance.ts";
export { SlidingCount } from "./sliding_count.ts";
export { SuspicionList } from "./suspicion_list.ts";
export {
  type HolderRecovery,
  type HolderRecoveryOptions,
  recoverHolders,
} from "./holder_recovery.ts";
