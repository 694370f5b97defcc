import type { Clock } from "@limpetshed/base";
import type {
  Brittleness,
  Endpoint,
  LoadTracker,
  NamedLimit,
  NamedRest,
} from "@limpetshed/dispatch";
import type { ConnectionPool, ConnectionVerifier } from "./connection_pool.ts";
import type { RelayRequest } from "./relay_request.ts";
import type { EndpointAnswer } from "./rest_recorder.ts";
import type { ResponseWriter } from "./response_writer.ts";
import type { SseFramer } from "./sse_framer.ts";
import type { WireFormat } from "./wire_format.ts";

/** Options of `SendAttempt`. */
export interface SendAttemptOptions {
  request: RelayRequest;
  endpoint: Endpoint;
  /** Endpoint to copy cached parts of the prompt from. */
  copyFrom: Endpoint | undefined;
  writer: ResponseWriter;
  pool: ConnectionPool;
  endpointLoads: LoadTracker;
  format: WireFormat;
  /** Buffers the incomplete last event of a resumable stream. */
  framer: SseFramer | undefined;
  /** Whether the request may run twice; if not, the pool hands out only new or
   * recently used connections. */
  repeatable: boolean;
  /** Restricts the connections that the request may use. */
  verifier: ConnectionVerifier | undefined;
  clock: Clock;
  /** Called with what a response to this request says of its endpoint's limit.
   * `sentMs` is the monotonic time at which the request was sent, `isServed` says
   * whether the endpoint ran it without an error. */
  onLimit: (
    limit: NamedLimit,
    options: { sentMs: number; isServed: boolean },
  ) => void;
  /** Called with what such a response says of its endpoint's brittleness. */
  onBrittleness: (
    brittleness: Brittleness,
    options: { isRejected: boolean },
  ) => void;
  /** Called once: when the endpoint begins to answer this request, with what a
   * refusal says of a rest, or when the attempt ends without that. */
  onAnswer: (answer: EndpointAnswer, rest: NamedRest) => void;
  /** Called when the endpoint says in its answer to this request that it
   * leaves. */
  onLeaving: () => void;
  /** Whether the endpoint may still get the request, once a connection that the
   * request waited for is established. */
  maySend: () => boolean;
  /** Called when the request is about to be sent, with the monotonic time at which
   * its connection was established. */
  onSend: (connectionOpenedMs: number) => void;
  /** Called before the first events of a resumable stream are passed on. */
  onFirstEvent: () => void;
  /** Called with the time to the head of a usable response, milliseconds. */
  onUsableHead: (headMs: number) => void;
  /** Called on a server error of the endpoint; if it returns true, the request
   * is retried and the response is discarded. */
  onServerError: () => boolean;
  /** Called before the first byte of a response is passed to the client. */
  onCommit: () => void;
  /** Called when a response has ended with its connection; resolves to whether the
   * process of the endpoint is known to be there. */
  isEndpointAlive: () => Promise<boolean>;
  /** Called if the body of a response that is not relayed does not end. */
  onEndlessDiscard: () => void;
}
