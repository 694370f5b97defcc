import type { Buffer } from "node:buffer";
import { deferred, type Timer } from "@limpetshed/base";
import type { NamedRest, SendOutcome } from "@limpetshed/dispatch";
import { classifyUnusable } from "./classify_response.ts";
import { REFUSED_CODE } from "./endpoint_connector.ts";
import type {
  EndpointConnection,
  ExchangeControl,
  ExchangeHandler,
  ResponseHead,
} from "./endpoint_connection.ts";
import { HeldResponse } from "./held_response.ts";
import { outgoingHeaders } from "./outgoing_headers.ts";
import type { AbortReason } from "./relay_request.ts";
import { relayedHeaders } from "./relayed_headers.ts";
import type { EndpointAnswer } from "./rest_recorder.ts";
import { reportLimits } from "./report_limits.ts";
import { ResponseBody } from "./response_body.ts";
import type { SendAttemptOptions } from "./send_attempt_options.ts";
import type { SendResult } from "./send_result.ts";

/** Longest event of a stream; far above what a few tokens take, and little enough
 * to be buffered for each request. */
const MAX_EVENT_BYTES = 262_144;
/** Limits on reading the body of a response that is not relayed, which makes its
 * connection usable again: closing it is cheaper beyond them. */
const MAX_DISCARDED_BYTES = 65_536;
const MAX_DISCARD_MS = 1_000;
/** Statuses whose `retry-after` asks for a rest. */
const REST_STATUSES: ReadonlySet<number> = new Set([429, 503]);

/** Sends a request to one endpoint and relays the response to the client. */
export class SendAttempt implements ExchangeHandler {
  readonly #options: SendAttemptOptions;
  readonly #connection: EndpointConnection;
  readonly #result = deferred<SendResult>();
  #state: "waiting" | "relaying" | "discarding" | "settled" = "waiting";
  #hasStartedSending = false;
  #sendStartMs = 0;
  #head: ResponseHead | undefined;
  #headMs: number | undefined;
  #rest: NamedRest = { state: "none" };
  #isAnswered = false;
  #connectionEnd: "closed" | "refused" | undefined;
  #isCleanedUp = false;
  /** Set while relaying. */
  #body: ResponseBody | undefined;
  #held: HeldResponse | undefined;
  #relayedBytes = 0;
  #isPaused = false;
  #discardedBytes = 0;
  #discardTimer: Timer | undefined;

  constructor(options: SendAttemptOptions) {
    this.#options = options;
    const { pool, endpoint, repeatable, request, verifier, maySend } = options;
    this.#connection = pool.acquire(endpoint.entry.address, {
      repeatable,
      requestId: request.requestId,
      verifier,
      maySend,
    });
    options.endpointLoads.begin(endpoint.key);
    request.signal.addEventListener("abort", this.#onAbort, { once: true });
    const { method, path, body } = request;
    const lastEventId = options.framer?.lastEventId;
    const headers = outgoingHeaders({ ...options, lastEventId });
    this.#connection.exchange({ method, path, headers, body }, this);
  }

  /** Resolves when the response has been relayed or the attempt has failed. */
  get result(): Promise<SendResult> {
    return this.#result.promise;
  }

  onSend(): void {
    this.#hasStartedSending = true;
    this.#sendStartMs = this.#options.clock.monotonicMs();
    this.#options.onSend(this.#connection.openedMs);
  }

  onHead(head: ResponseHead): void {
    this.#head = head;
    this.#headMs = this.#options.clock.monotonicMs() - this.#sendStartMs;
    const { format, endpointLoads, endpoint, request } = this.#options;
    const metadata = format.parseResponse(head.status, head.headers);
    const matchesRequest = metadata.requestId === request.requestId;
    if (matchesRequest && !metadata.isMisdirected) {
      this.#rest = REST_STATUSES.has(head.status)
        ? metadata.rest
        : { state: "none" };
      this.#reportAnswer(metadata.isNotRun ? "refused" : "accepted");
      if (metadata.isLeaving) {
        this.#options.onLeaving();
      }
    }
    if (matchesRequest) {
      if (metadata.load !== undefined) {
        endpointLoads.recordReport(endpoint.key, metadata.load);
      }
      reportLimits(metadata, {
        ...this.#options,
        status: head.status,
        sentMs: this.#sendStartMs,
      });
    }
    const unusable = classifyUnusable({
      head,
      metadata,
      requestId: request.requestId,
      isReusedConnection: this.#connection.isReused,
      isResumption: this.#options.writer.isHeadSent,
      onServerError: this.#options.onServerError,
    });
    if (unusable !== undefined) {
      if (metadata.isNotRun) {
        this.#connection.recordRefusal(request.requestId);
      }
      this.#settle(unusable.outcome, unusable.reason);
      this.#state = "discarding";
      // After a rejected or failed response the connection is still usable and
      // returns to the pool at the end of the body.
      if (unusable.outcome === "rejected" || unusable.outcome === "failed") {
        this.#discardTimer = this.#options.clock.setTimer(
          MAX_DISCARD_MS,
          () => this.#abandonDiscard(),
        );
      } else {
        this.#connection.close();
      }
      return;
    }
    this.#state = "relaying";
    this.#body = new ResponseBody(head, request.method);
    this.#options.onUsableHead(this.#headMs);
    if (!this.#options.writer.isHeadSent) {
      this.#sendHead(head, this.#body);
    }
  }

  #sendHead(head: ResponseHead, { isEventStream }: ResponseBody): void {
    const { writer, request, clock, format, onCommit } = this.#options;
    const { status } = head;
    const headers = relayedHeaders(head, {
      format,
      // The stream may be found broken after its last byte, and another endpoint
      // that resumes it may send events of other lengths.
      dropsLength: isEventStream &&
        (writer.supportsChunks || request.route.resumable),
    });
    if (request.route.kind === "safe" && !isEventStream) {
      this.#held = new HeldResponse({
        clock,
        writer,
        status,
        headers,
        onRelease: onCommit,
      });
    } else {
      onCommit();
      writer.sendHead(status, headers, { isEventStream });
    }
  }

  onData(chunk: Buffer, control: ExchangeControl): void {
    if (this.#state === "discarding") {
      this.#discardedBytes += chunk.length;
      if (this.#discardedBytes > MAX_DISCARDED_BYTES) {
        this.#abandonDiscard();
      }
    }
    if (this.#state !== "relaying") {
      return;
    }
    this.#body?.push(chunk);
    const { framer, writer } = this.#options;
    const bytes = framer === undefined ? chunk : framer.push(chunk);
    const { openEventBytes = 0 } = framer ?? this.#body ?? {};
    const fault = openEventBytes > MAX_EVENT_BYTES
      ? `an event exceeds ${MAX_EVENT_BYTES} bytes`
      : framer?.isOutOfOrder === true
      ? "the events do not follow those before"
      : undefined;
    if (fault !== undefined) {
      this.#breakOff(fault);
      return;
    }
    if (framer !== undefined && bytes.length > 0 && this.#relayedBytes === 0) {
      this.#options.onFirstEvent();
    }
    this.#relayedBytes += bytes.length;
    const sink = this.#held ?? writer;
    if (bytes.length > 0 && !sink.write(bytes)) {
      control.pause();
      this.#isPaused = true;
      writer.onDrain(() => {
        this.#isPaused = false;
        control.resume();
      });
    }
  }

  onEnd(): void {
    const { pool, endpoint } = this.#options;
    if (this.#state !== "relaying") {
      this.#cleanUp();
      pool.release(endpoint.entry.address, this.#connection);
    } else if (this.#body?.isTruncated === true) {
      this.#breakOff("the stream ended inside an event", "closed");
    } else if (this.#body?.framing === "close") {
      void this.#completeIfEndedByEndpoint();
    } else {
      this.#complete();
    }
  }

  /** Completes a response that ended with its connection only if it is known that
   * the endpoint ended it. The system closes the connections of a process that is
   * gone alike: of the endpoint, also of one that leaves, or of a node between. */
  async #completeIfEndedByEndpoint(): Promise<void> {
    const [isEndConfirmed, isAlive] = await Promise.all([
      this.#connection.confirmEnd(),
      this.#options.isEndpointAlive(),
    ]);
    if (this.#state !== "relaying") {
      return;
    }
    if (isEndConfirmed && isAlive) {
      this.#complete();
    } else {
      this.#breakOff(
        isEndConfirmed
          ? "the endpoint went down at the end of its response"
          : "no other node vouches for the end of the response",
        "closed",
      );
    }
  }

  #complete(): void {
    this.#cleanUp();
    const { pool, endpoint, writer, framer } = this.#options;
    const rest = framer?.flush();
    if (rest !== undefined && rest.length > 0) {
      this.#relayedBytes += rest.length;
      writer.write(rest);
    }
    (this.#held ?? writer).end();
    this.#settle("delivered");
    pool.release(endpoint.entry.address, this.#connection);
  }

  #breakOff(reason: string, connectionEnd?: "closed"): void {
    this.#cleanUp();
    this.#connectionEnd = connectionEnd;
    this.#settle("broken", reason);
    this.#connection.close();
  }

  onError(err: NodeJS.ErrnoException): void {
    this.#cleanUp();
    this.#connectionEnd = err.code === REFUSED_CODE ? "refused" : "closed";
    if (this.#state === "waiting") {
      this.#settle(this.#hasStartedSending ? "lost" : "not_sent", err.message);
    } else if (this.#state === "relaying") {
      this.#settle("broken", err.message);
    }
    this.#connection.close();
  }

  readonly #onAbort = (): void => {
    this.#cleanUp();
    this.#settle(
      this.#state === "relaying"
        ? "broken"
        : this.#hasStartedSending
        ? "lost"
        : "not_sent",
      String(this.#options.request.signal.reason),
    );
    this.#connection.close();
  };

  /** Ends the attempt, unless it has ended, as another one answers the client. */
  cancel(): void {
    if (this.#state === "waiting" || this.#state === "relaying") {
      this.#cleanUp();
      this.#settle("cancelled");
      this.#connection.close();
    }
  }

  /** Closes the connection on which a body that is not relayed goes on. */
  #abandonDiscard(): void {
    this.#cleanUp();
    this.#state = "settled";
    this.#options.onEndlessDiscard();
    this.#connection.close();
  }

  /** Whether the endpoint was still sending a body without end when the request
   * was aborted. */
  #hasOverrun(): boolean {
    const reason = this.#options.request.signal.reason as AbortReason;
    return this.#state === "relaying" && reason === "time_over" &&
      !this.#isPaused && this.#body?.hasEvents !== true;
  }

  #reportAnswer(answer: EndpointAnswer): void {
    if (!this.#isAnswered) {
      this.#isAnswered = true;
      this.#options.onAnswer(answer, this.#rest);
    }
  }

  #cleanUp(): void {
    if (!this.#isCleanedUp) {
      this.#isCleanedUp = true;
      this.#discardTimer?.cancel();
      this.#options.endpointLoads.end(this.#options.endpoint.key);
      this.#options.request.signal.removeEventListener("abort", this.#onAbort);
    }
  }

  #settle(outcome: SendOutcome, reason?: string): void {
    this.#held?.discard();
    this.#reportAnswer("none");
    const nowMs = this.#options.clock.monotonicMs();
    this.#result.resolve({
      outcome,
      status: this.#head?.status,
      rest: this.#rest,
      reason,
      headMs: this.#headMs,
      overran: this.#hasOverrun(),
      connectionEnd: this.#connectionEnd,
      sentMs: this.#hasStartedSending ? this.#sendStartMs : undefined,
      answeringMs: this.#headMs === undefined
        ? undefined
        : nowMs - this.#sendStartMs - this.#headMs,
      framing: this.#body?.framing,
      receivedBytes: this.#body?.receivedBytes,
      relayedBytes: this.#body && this.#relayedBytes,
      openEventBytes: this.#body?.openEventBytes,
    });
    this.#state = "settled";
  }
}
