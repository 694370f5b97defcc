import type { Buffer } from "node:buffer";
import { deferred } from "@limpetshed/base";
import type { Endpoint, LoadTracker, SendOutcome } from "@limpetshed/dispatch";
import type { AnswerSink } from "./answer_sink.ts";
import type { ConnectionPool } from "./connection_pool.ts";
import type {
  AnswerHead,
  EndpointConnection,
  ExchangeControl,
  ExchangeHandler,
} from "./endpoint_connection.ts";
import type { EventFramer } from "./event_framer.ts";
import { filterHeaders, hopHeaders } from "./hop_headers.ts";
import type { RelayCall } from "./relay_call.ts";
import type { AnswerFacts, WireFormat } from "./wire_format.ts";

/** How a send ended. */
export interface SendResult {
  outcome: SendOutcome;
  /** Status of the endpoint's answer, if one came. */
  status?: number;
  /** What went wrong, for logs. */
  reason?: string;
  /** Milliseconds from sending to the head of the answer. */
  headMs?: number;
}

/** Options of {@linkcode SendAttempt}. */
export interface SendAttemptOptions {
  call: RelayCall;
  endpoint: Endpoint;
  /** Endpoint to copy known parts of the prompt from. */
  copyFrom: Endpoint | undefined;
  sink: AnswerSink;
  pool: ConnectionPool;
  board: LoadTracker;
  format: WireFormat;
  /** Holds back unfinished events of a stream that may be resumed. */
  framer: EventFramer | undefined;
  /** Whether connections must be fresh, since the call must not run twice. */
  repeatable: boolean;
  /** Monotonic time. */
  now: () => number;
  /** Told how long the head of a usable answer took, milliseconds. */
  onHead: (headMs: number) => void;
  /** Asked when an endpoint ran the request and failed. */
  wantsRepeat: () => boolean;
}

/** Statuses by which a node promises that a request has not run. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Sends a call to one endpoint and relays the answer to the caller. */
export class SendAttempt implements ExchangeHandler {
  readonly #options: SendAttemptOptions;
  readonly #connection: EndpointConnection;
  readonly #result = deferred<SendResult>();
  #mode: "waiting" | "relaying" | "discarding" | "settled" = "waiting";
  #isSent = false;
  #sentMs = 0;
  #head: AnswerHead | undefined;
  #headMs: number | undefined;
  #ended = false;

  constructor(options: SendAttemptOptions) {
    this.#options = options;
    const { pool, endpoint, repeatable, call } = options;
    this.#connection = pool.take(endpoint.entry.address, { repeatable });
    options.board.begin(endpoint.key);
    call.signal.addEventListener("abort", this.#onAbort, { once: true });
    this.#connection.exchange(
      {
        method: call.method,
        path: call.path,
        headers: this.#headers(),
        body: call.body,
      },
      this,
    );
  }

  /** Settles once the caller's answer or the next step is decided. */
  get result(): Promise<SendResult> {
    return this.#result.promise;
  }

  onSend(): void {
    this.#isSent = true;
    this.#sentMs = this.#options.now();
  }

  onHead(head: AnswerHead): void {
    this.#head = head;
    this.#headMs = this.#options.now() - this.#sentMs;
    const { format, board, endpoint, call } = this.#options;
    const facts = format.readAnswer(head.status, head.headers);
    const isOurs = facts.requestId === call.requestId;
    if (isOurs && facts.inFlight !== undefined) {
      board.reportInFlight(endpoint.key, facts.inFlight);
    }
    const verdict = this.#judge(head, facts, isOurs);
    if (verdict !== undefined) {
      this.#settle(verdict.outcome, verdict.reason);
      this.#mode = "discarding";
      if (verdict.outcome !== "rejected" && verdict.outcome !== "failed") {
        this.#connection.close();
      }
      return;
    }
    this.#mode = "relaying";
    this.#options.onHead(this.#headMs);
    if (!this.#options.sink.isStarted) {
      const hop = hopHeaders(head.headers.connection);
      this.#options.sink.start(
        head.status,
        filterHeaders(head.rawHeaders, (name) => !hop.has(name)),
      );
    }
  }

  onData(chunk: Buffer, control: ExchangeControl): void {
    if (this.#mode !== "relaying") {
      return;
    }
    const { framer, sink } = this.#options;
    const bytes = framer === undefined ? chunk : framer.push(chunk);
    if (bytes.length > 0 && !sink.write(bytes)) {
      control.pause();
      sink.onDrain(() => control.resume());
    }
  }

  onEnd(): void {
    this.#finish();
    const { pool, endpoint, sink, framer } = this.#options;
    if (this.#mode === "relaying") {
      if (this.#isCutUnframed()) {
        this.#settle("broken", "reset before the end of an unframed answer");
        return;
      }
      const rest = framer?.flush();
      if (rest !== undefined && rest.length > 0) {
        sink.write(rest);
      }
      sink.end();
      this.#settle("delivered");
    }
    pool.giveBack(endpoint.entry.address, this.#connection);
  }

  onError(err: Error): void {
    this.#finish();
    if (this.#mode === "waiting") {
      this.#settle(this.#isSent ? "lost" : "not_sent", err.message);
    } else if (this.#mode === "relaying") {
      this.#settle("broken", err.message);
    }
    this.#connection.close();
  }

  readonly #onAbort = (): void => {
    this.#finish();
    this.#settle(
      this.#mode === "relaying" ? "broken" : this.#isSent ? "lost" : "not_sent",
      String(this.#options.call.signal.reason),
    );
    this.#connection.close();
  };

  #judge(
    head: AnswerHead,
    facts: AnswerFacts,
    isOurs: boolean,
  ): { outcome: SendOutcome; reason: string } | undefined {
    const { wantsRepeat, sink } = this.#options;
    const { status } = head;
    const isStray = facts.requestId !== undefined && !isOurs;
    if (
      isStray || (facts.requestId === undefined && this.#connection.isReused)
    ) {
      return { outcome: "lost", reason: "an answer to another request" };
    }
    if (facts.isMisdirected) {
      return { outcome: "misdirected", reason: "another endpoint answered" };
    }
    if (facts.isNotRun) {
      return { outcome: "rejected", reason: `status ${status}` };
    }
    if (status >= 500 && wantsRepeat()) {
      return { outcome: "failed", reason: `status ${status}` };
    }
    if (NOT_RUN_STATUSES.has(status)) {
      return { outcome: "lost", reason: `status ${status} without a mark` };
    }
    const isEncoded = head.headers["content-encoding"] !== undefined;
    if (status < 400 && (!facts.isSigned || isEncoded)) {
      return {
        outcome: "lost",
        reason: "an answer the endpoint does not sign",
      };
    }
    if (sink.isStarted && status !== 200) {
      return { outcome: "lost", reason: `status ${status} to a resumption` };
    }
    return undefined;
  }

  #headers(): string[] {
    const { call, format, endpoint, framer, now } = this.#options;
    const send = {
      timeLeftMs: Math.max(1, Math.floor(call.endsMs - now())),
      endpointId: endpoint.entry.id,
      account: call.account,
      copyFrom: this.#options.copyFrom?.entry.address,
      lastEventId: framer?.lastEventId,
    };
    const hop = hopHeaders(call.connectionHeader);
    const kept = filterHeaders(
      call.rawHeaders,
      (name) =>
        !hop.has(name) && name !== "content-length" && name !== "expect" &&
        !format.isReserved(name) && !format.isReplaced(name, send),
    );
    return [...kept, ...format.sendHeaders(send)];
  }

  /** Whether an answer that ends with its connection ended by a reset. */
  #isCutUnframed(): boolean {
    const headers = this.#head?.headers ?? {};
    return headers["content-length"] === undefined &&
      headers["transfer-encoding"] === undefined &&
      this.#connection.socketError !== undefined;
  }

  #finish(): void {
    if (!this.#ended) {
      this.#ended = true;
      this.#options.board.end(this.#options.endpoint.key);
      this.#options.call.signal.removeEventListener("abort", this.#onAbort);
    }
  }

  #settle(outcome: SendOutcome, reason?: string): void {
    this.#result.resolve({
      outcome,
      status: this.#head?.status,
      reason,
      headMs: this.#headMs,
    });
    this.#mode = "settled";
  }
}
