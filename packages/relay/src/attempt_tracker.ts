import type { Clock } from "@limpetshed/base";
import type {
  AccountLoads,
  ExecutionTimes,
  ServiceLatency,
} from "@limpetshed/dispatch";
import type { RelayRequest } from "./relay_request.ts";
import { mayHaveRun } from "./retry_guard.ts";
import type { SendResult } from "./send_result.ts";

/** Options of {@linkcode AttemptTracker}. */
export interface AttemptTrackerOptions {
  clock: Clock;
  accountLoads: AccountLoads;
  serviceLatency: ServiceLatency;
  executionTimes: ExecutionTimes;
}

/** Counts attempts as in flight for their service and client account, and records
 * how long they last. */
export class AttemptTracker {
  readonly #options: AttemptTrackerOptions;

  constructor(options: AttemptTrackerOptions) {
    this.#options = options;
  }

  /** Counts the attempt as in flight until it ends. Records its duration if the
   * endpoint may have run the request. `load` is the number of requests in flight
   * at the endpoint when it was chosen. */
  async track(
    { service, account = "" }: RelayRequest,
    pending: Promise<SendResult>,
    { load, slots }: { load: number; slots: number },
  ): Promise<SendResult> {
    const { clock, accountLoads, serviceLatency, executionTimes } =
      this.#options;
    const startMs = clock.monotonicMs();
    accountLoads.begin(service, account);
    const result = await pending;
    accountLoads.end(service, account);
    if (mayHaveRun(result.outcome) && result.sentMs !== undefined) {
      const durationMs = clock.monotonicMs() - startMs;
      serviceLatency.record(service, durationMs);
      executionTimes.record({ service, durationMs, load, slots });
    }
    return result;
  }
}
