/** At most one execution per idempotency key. */
export {
  type ClaimedAnswer,
  type ClaimedCall,
  ClaimKeeper,
  type ClaimKeeperOptions,
  type PlainResult,
} from "./claim_keeper.ts";
