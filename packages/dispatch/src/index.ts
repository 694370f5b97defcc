/** Endpoint selection, load shedding and retry decisions. */
export {
  type AttemptCounts,
  isRetryable,
  mayRetry,
  type SendOutcome,
} from "./retry_policy.ts";
export {
  AffinityPolicy,
  LastSharedPolicy,
  LeastLoadedPolicy,
} from "./baseline_policies.ts";
export { AccountLoads } from "./account_loads.ts";
export {
  BrittleEndpoints,
  type BrittleLoad,
  type Brittleness,
} from "./brittle_endpoints.ts";
export {
  ColdStartLimiter,
  type ColdStartLimits,
} from "./cold_start_limiter.ts";
export type { CrashReport } from "./crash_report.ts";
export { CrashSuspects, type CrashVerdict } from "./crash_suspects.ts";
export { promptTraits } from "./crash_traits.ts";
export type { LostResponse } from "./lost_responses.ts";
export type { CrashSuspect } from "./suspect_traits.ts";
export type {
  Choice,
  ChoiceRequest,
  NoChoice,
  NoChoiceReason,
} from "./endpoint_choice.ts";
export {
  EndpointChooser,
  type EndpointChooserOptions,
} from "./endpoint_chooser.ts";
export {
  type HedgeKind,
  HedgePolicy,
  type HedgePolicyOptions,
  type HedgeTimes,
} from "./hedge_policy.ts";
export { EndpointLimiter } from "./endpoint_limiter.ts";
export type {
  LimitChange,
  LimitReport,
  NamedLimit,
} from "./endpoint_limits.ts";
export type { ShareLoan, ShareNeed } from "./share_loans.ts";
export {
  type ApplyChangeOptions,
  DeferredChanges,
} from "./deferred_changes.ts";
export {
  DeferredRemovals,
  REREGISTRATION_GRACE_MS,
} from "./deferred_removals.ts";
export { chooseSpread, type SpreadOptions } from "./choose_spread.ts";
export type { EndpointLoad } from "./endpoint_load.ts";
export {
  EndpointSpeeds,
  type SpeedEstimate,
  type SpeedReport,
} from "./endpoint_speeds.ts";
export type { EndpointEntry } from "./endpoint_entry.ts";
export {
  EndpointPaths,
  type EndpointPathsOptions,
  type PathChange,
  type PathState,
} from "./endpoint_paths.ts";
export {
  EndpointPolicy,
  type Selection,
  type SelectionRequest,
} from "./endpoint_policy.ts";
export {
  type Endpoint,
  EndpointRegistry,
  type EndpointRegistryOptions,
  type RemovalReason,
} from "./endpoint_registry.ts";
export type { LeavingSource } from "./told_leavings.ts";
export { LoadTracker } from "./load_tracker.ts";
export {
  type EndpointPace,
  EndpointRests,
  type RestChange,
} from "./endpoint_rests.ts";
export type { NamedRest } from "./named_rest.ts";
export {
  type CachedPart,
  PrefixCacheIndex,
  type PrefixCacheIndexOptions,
} from "./prefix_cache_index.ts";
export {
  type Admission,
  OverloadGuard,
  type OverloadRefusal,
  type OverloadRequest,
} from "./overload_guard.ts";
export { ServiceLatency } from "./service_latency.ts";
export { PrefixPolicy, type PrefixPolicyOptions } from "./prefix_policy.ts";
export type { PromptInfo, PromptPart } from "./prompt_info.ts";
export { ServiceVersions } from "./service_versions.ts";
export {
  STREAM_RETENTION_MS,
  type StreamGroup,
  streamKey,
  type StreamOrigin,
  StreamOrigins,
} from "./stream_origins.ts";
export {
  RetryBudget,
  type RetryLimits,
  type RetryUsage,
} from "./retry_budget.ts";
export { SlidingWindowCounter } from "./sliding_window_counter.ts";
export { type ExecutedRequest, ExecutionTimes } from "./execution_times.ts";
export { RecentLoads, type RecentLoadsOptions } from "./recent_loads.ts";
export {
  hasScarceSlots,
  type ScarceRequest,
  ScarceSlots,
  type ScarceSlotsOptions,
  type ScarceWait,
} from "./scarce_slots.ts";
export { OutlierDetector } from "./outlier_detector.ts";
export {
  type PrefixCacheRecovery,
  type PrefixCacheRecoveryOptions,
  recoverPrefixCache,
} from "./prefix_cache_recovery.ts";
export type {
  AnswerCell,
  ExposureLimits,
  RolloutOrder,
  RolloutReport,
  RolloutState,
  RolloutStatus,
} from "./rollout_report.ts";
export { GatedChooser, VersionGate } from "./version_gate.ts";
export {
  type RolloutChange,
  type VersionAnswer,
  VersionRollouts,
  type VersionRolloutsOptions,
  type WantedStatus,
} from "./version_rollouts.ts";
