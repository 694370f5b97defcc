/** Assembles a node from its components and runs it. */
export { FleetNode } from "./fleet_node.ts";
export type { FleetNodeOptions } from "./node_components.ts";
export { type ChatRequest, parseChatRequest } from "./chat_request.ts";
export { RetryBudget } from "./retry_budget.ts";
export { RunningNode } from "./running_node.ts";
