import type { IncomingHttpHeaders } from "node:http";
import type { PromptInfo } from "@limpetshed/dispatch";

/** What the headers of a caller's request say. */
export interface CallFacts {
  /** Identifies the caller's attempt; endpoints echo it. */
  requestId: string | undefined;
  /** How long the caller waits from now, milliseconds. */
  patienceMs: number | undefined;
  /** The key that names the client account. */
  key: string | undefined;
  prompt: PromptInfo | undefined;
}

/** What this node adds to a request for an endpoint. */
export interface SendFacts {
  /** Time left for the answer, milliseconds. */
  timeLeftMs: number;
  /** Only this start of an endpoint may run the request. */
  endpointId: string;
  account: string | undefined;
  /** Address of an endpoint to copy known parts of the prompt from. */
  copyFrom: string | undefined;
  /** Goes on after this event; undefined keeps what the caller sent. */
  lastEventId: string | undefined;
}

/** What the headers of an endpoint's answer say. */
export interface AnswerFacts {
  /** Request that the answer says it belongs to. */
  requestId: string | undefined;
  /** Whether the endpoint vouches for the answer. */
  isSigned: boolean;
  /** Whether the endpoint did not and will not run the request. */
  isNotRun: boolean;
  /** Whether another endpoint has the address. */
  isMisdirected: boolean;
  /** Requests that the endpoint has running and waiting. */
  inFlight: number | undefined;
}

/** Reads and writes the headers of one front; names stay in here. */
export abstract class WireFormat {
  /** Reads what a caller's request says. */
  abstract readCall(headers: IncomingHttpHeaders): CallFacts;

  /** Whether the header, lower case, is kept from endpoints. */
  abstract isReserved(name: string): boolean;

  /** Names and values that this node adds for the endpoint. */
  abstract sendHeaders(send: SendFacts): string[];

  /** Lower-case names that `sendHeaders` replaces if the caller sent them. */
  abstract isReplaced(name: string, send: SendFacts): boolean;

  /** Reads what an endpoint's answer says. */
  abstract readAnswer(
    status: number,
    headers: IncomingHttpHeaders,
  ): AnswerFacts;
}
