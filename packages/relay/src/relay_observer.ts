import type {
  Endpoint,
  NoChoiceReason,
  SendOutcome,
} from "@limpetshed/dispatch";
import type { RouterError } from "@limpetshed/errors";
import type { RelayCall } from "./relay_call.ts";
import type { SendResult } from "./send_attempt.ts";

/** One send and how it ended. */
export interface SendRecord {
  call: RelayCall;
  endpoint: Endpoint;
  copyFrom: Endpoint | undefined;
  result: SendResult;
  /** Requests that the endpoint was believed to have when it was chosen. */
  load: number;
  /** Endpoints that could have been chosen. */
  candidates: number;
}

/** Told of each decision on a call; writes logs and metrics. */
export abstract class RelayObserver {
  /** A send ended. */
  abstract sent(record: SendRecord): void;

  /** A call goes to a further endpoint. */
  abstract repeated(call: RelayCall, outcome: SendOutcome): void;

  /** No endpoint could be chosen; `waitMs` is how long that may last. */
  abstract notPlaced(
    call: RelayCall,
    reason: NoChoiceReason,
    waitMs: number | undefined,
  ): void;

  /** A call has been answered whole; the duration is in milliseconds. */
  abstract answered(call: RelayCall, durationMs: number): void;

  /** A call was refused or failed, or its answer was broken off. */
  abstract failed(
    err: RouterError,
    context: { call?: RelayCall; requestId?: string; brokenOff: boolean },
  ): void;
}
