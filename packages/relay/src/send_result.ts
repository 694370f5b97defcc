import type { NamedRest, SendOutcome } from "@limpetshed/dispatch";
import type { BodyFraming } from "./response_body.ts";

/** Result of one attempt to send a request to an endpoint. */
export interface SendResult {
  outcome: SendOutcome;
  /** HTTP status of the endpoint's response, if any. */
  status?: number;
  /** What a refusal says of the time in which the endpoint wants no request. */
  rest: NamedRest;
  /** Failure reason, for logs. */
  reason?: string;
  /** Milliseconds from the start of sending to the response head. */
  headMs?: number;
  /** Whether the deadline passed while the endpoint sent a body that has no end:
   * it is not a stream of events, and the client read it as it came. */
  overran?: boolean;
  /** How the endpoint ended the connection, unless the relay did. */
  connectionEnd?: "closed" | "refused";
  /** Monotonic time at which sending began, if it did. */
  sentMs?: number;
  /** Milliseconds from the response head to the end of the attempt. */
  answeringMs?: number;
  framing?: BodyFraming;
  /** Body bytes received from the endpoint. */
  receivedBytes?: number;
  /** Body bytes written to the client. */
  relayedBytes?: number;
  /** Bytes received after the last complete event of a stream. */
  openEventBytes?: number;
}
