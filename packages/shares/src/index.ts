/** Enforcement of members' shares of the common token budget. */
export {
  BudgetClient,
  type BudgetClientOptions,
  type Reservation,
} from "./budget_client.ts";
export {
  BudgetOwner,
  type BudgetOwnerOptions,
  burstTokens,
  type MemberShare,
} from "./budget_owner.ts";
export {
  MemberQueue,
  type MemberQueueOptions,
  type QueueSlot,
  shareExhaustedError,
} from "./member_queue.ts";
