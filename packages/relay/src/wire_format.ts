import type { IncomingHttpHeaders } from "node:http";
import type {
  Brittleness,
  EndpointLoad,
  NamedLimit,
  NamedRest,
  PromptInfo,
} from "@limpetshed/dispatch";

/** Metadata parsed from the headers of a client request. */
export interface RequestMetadata {
  /** Identifies the client's attempt; endpoints echo it in the response. */
  requestId: string | undefined;
  /** How much longer the client waits for the response, milliseconds. */
  clientTimeoutMs: number | undefined;
  /** API key of the client account. */
  apiKey: string | undefined;
  prompt: PromptInfo | undefined;
  /** Id of the last event that the client has of a stream that it resumes. */
  lastEventId: string | undefined;
  /** Id of the client's attempt that received the first event of a stream that
   * it resumes. */
  resumedRequestId: string | undefined;
}

/** Metadata that this node adds to a request to an endpoint. */
export interface SendMetadata {
  /** Time left until the deadline, milliseconds. */
  timeLeftMs: number;
  /** Id of the endpoint that the request is for; an endpoint with another id must
   * not run it. */
  endpointId: string;
  account: string | undefined;
  /** Address of an endpoint to copy cached parts of the prompt from. */
  copyFrom: string | undefined;
  /** Id of the event to resume the stream after; if undefined, the client's own
   * `last-event-id` header is forwarded. */
  lastEventId: string | undefined;
}

/** Metadata parsed from the headers of an endpoint's response. */
export interface ResponseMetadata {
  /** Id of the request that the response belongs to. */
  requestId: string | undefined;
  /** Whether the endpoint signed the response. */
  isSigned: boolean;
  /** Whether the endpoint guarantees that it did not and will not run the
   * request. */
  isNotRun: boolean;
  /** Whether the address now belongs to another endpoint. */
  isMisdirected: boolean;
  /** What the endpoint says of its load; undefined if it says nothing. */
  load: EndpointLoad | undefined;
  /** What the endpoint says of the requests that it takes. */
  limit: NamedLimit;
  /** Whether the endpoint goes down if it has to reject too many requests. */
  brittleness: Brittleness;
  /** Whether the endpoint says that it leaves. */
  isLeaving: boolean;
  /** Time for which the endpoint wants no request of this node. */
  rest: NamedRest;
}

/** Parses and builds the protocol headers; subclasses define their names. */
export abstract class WireFormat {
  /** Parses the headers of a client request. */
  abstract parseRequest(headers: IncomingHttpHeaders): RequestMetadata;

  /** Whether the header, given in lower case, is not forwarded to endpoints. */
  abstract isReserved(name: string): boolean;

  /** Headers that this node adds to the request, names and values
   * alternating. */
  abstract requestHeaders(metadata: SendMetadata): string[];

  /** Whether `requestHeaders` replaces the client's header, given in lower
   * case. */
  abstract isReplaced(name: string, metadata: SendMetadata): boolean;

  /** Whether the endpoint's header, given in lower case, is for nodes only and
   * not relayed to the client. */
  abstract isForNodes(name: string): boolean;

  /** Parses the status and headers of an endpoint's response. */
  abstract parseResponse(
    status: number,
    headers: IncomingHttpHeaders,
  ): ResponseMetadata;
}
