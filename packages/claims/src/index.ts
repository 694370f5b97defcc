/** At-most-once execution per idempotency key. */
export {
  type IdempotentCall,
  IdempotentCallRunner,
  type IdempotentCallRunnerOptions,
  type IdempotentResponse,
  type ServiceResponse,
} from "./idempotent_call_runner.ts";
