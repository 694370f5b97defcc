/** Clocks, invariants, and helpers for asynchronous code and HTTP servers. */
export { abortResponse } from "./abort_response.ts";
export { AsyncQueue } from "./async_queue.ts";
export type { Clock, Timer } from "./clock.ts";
export { ConnectionGuard } from "./connection_guard.ts";
export {
  createGuardedClient,
  type GuardedClientOptions,
} from "./create_guarded_client.ts";
export { type Deferred, deferred } from "./deferred.ts";
export { errorText } from "./error_text.ts";
export {
  invariant,
  type InvariantHandler,
  setInvariantHandler,
} from "./invariant.ts";
export { HOP_BY_HOP_HEADERS } from "./hop_by_hop_headers.ts";
export { HttpService } from "./http_service.ts";
export { limitInformationalResponses } from "./limit_informational_responses.ts";
export { listenOn, splitHostPort } from "./listen_on.ts";
export { ManualClock } from "./manual_clock.ts";
export { parseJson } from "./parse_json.ts";
export { PausableClock } from "./pausable_clock.ts";
export { readStream } from "./read_stream.ts";
export { repeat, type RepeatingTask, type RepeatOptions } from "./repeat.ts";
export { resetConnection } from "./reset_connection.ts";
export { sharedWakeUpMs } from "./shared_wake_up.ts";
export { sleep } from "./sleep.ts";
export { SystemClock } from "./system_clock.ts";
export { TokenBucket } from "./token_bucket.ts";
export {
  type ProgressTimeoutOptions,
  withProgressTimeout,
} from "./with_progress_timeout.ts";
export { withTimeout } from "./with_timeout.ts";
