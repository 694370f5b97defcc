/** Caller load and reports. */
export { callChat, type CallResult, type CallTarget } from "./chat_caller.ts";
export {
  ChatGenerator,
  type ChatGeneratorOptions,
  type GeneratedMessage,
  type GeneratedTurn,
} from "./chat_generator.ts";
export { htmlReport } from "./html_report.ts";
export {
  type LoadSecond,
  LoadStats,
  type LoadSummary,
  type Percentiles,
} from "./load_stats.ts";
export { runLoad, type RunLoadOptions } from "./run_load.ts";
