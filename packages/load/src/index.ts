/** Load generator for chat requests, with latency statistics and a report. */
export {
  type ChatRequestResult,
  type ChatRequestTarget,
  sendChatRequest,
} from "./send_chat_request.ts";
export {
  ChatGenerator,
  type ChatGeneratorOptions,
  type GeneratedMessage,
  type GeneratedTurn,
} from "./chat_generator.ts";
export { renderHtmlReport } from "./html_report.ts";
export {
  LoadStats,
  type LoadSummary,
  type Percentiles,
  type SecondStats,
} from "./load_stats.ts";
export { runLoad, type RunLoadOptions } from "./run_load.ts";
