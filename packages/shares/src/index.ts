/** Members' shares of the common budget. */
export {
  BudgetClient,
  type BudgetClientOptions,
  type Reservation,
} from "./budget_client.ts";
export {
  BudgetOwner,
  type BudgetOwnerOptions,
  burstOf,
  type ShareTerms,
} from "./budget_owner.ts";
export {
  MemberQueue,
  type MemberQueueOptions,
  shareExhausted,
  type Turn,
} from "./member_queue.ts";
export { TokenBucket } from "./token_bucket.ts";
