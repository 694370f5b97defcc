/** Assembles one node. */
export { FleetNode } from "./fleet_node.ts";
export type { FleetNodeOptions } from "./fleet_parts.ts";
export { type ChatRequest, parseChatRequest } from "./chat_request.ts";
export { RetryBudget } from "./retry_budget.ts";
export { RunningNode } from "./running_node.ts";
