import { EventSourceParserStream } from "eventsource-parser/stream";
import { Buffer } from "node:buffer";
import { Readable } from "node:stream";
import { Client, type Dispatcher, Pool } from "undici";
import type { Metrics } from "@limpetshed/observe";
import { readAnswer } from "./answer_stream.ts";
import {
  type ChatCall,
  EndpointClient,
  type EndpointOrder,
  type EndpointTarget,
  type LoadReport,
  type PlainAnswer,
  type PlainCall,
  type StreamEvent,
  type WholeAnswer,
} from "./endpoint_client.ts";
import { EndpointError } from "./endpoint_error.ts";
import { type SendState, trackSend } from "./send_tracker.ts";

/** Request and response header that matches an answer to its request. */
export const REQUEST_ID_HEADER = "x-request-id";
/** Request header with the priority of the work. */
export const PRIORITY_HEADER = "x-limpetshed-priority";
/** Request header with the chat key, hexadecimal. */
export const CHAT_KEY_HEADER = "x-limpetshed-chat";
/** Response header by which an endpoint says that it did not run a call. */
export const NOT_RUN_HEADER = "x-not-run";

const CONNECT_TIMEOUT_MS = 1_000;
const KEEP_ALIVE_MS = 4_000;
const MAX_WHOLE_ANSWER_BYTES = 16 * 1_048_576;

/** Options of {@linkcode HttpEndpointClient}. */
export interface HttpEndpointClientOptions {
  metrics: Metrics;
  /** Longest wait for the head of an answer, in milliseconds. */
  firstByteTimeoutMs?: number;
  /** Most connections to one endpoint. */
  maxConnections?: number;
}

/** Speaks to endpoints over HTTP/1.1. */
export class HttpEndpointClient extends EndpointClient {
  readonly #pools = new Map<string, Pool>();
  readonly #metrics: Metrics;
  readonly #firstByteTimeoutMs: number;
  readonly #maxConnections: number;

  constructor({
    metrics,
    firstByteTimeoutMs = 30_000,
    maxConnections = 128,
  }: HttpEndpointClientOptions) {
    super();
    this.#metrics = metrics;
    this.#firstByteTimeoutMs = firstByteTimeoutMs;
    this.#maxConnections = maxConnections;
  }

  streamChat(
    target: EndpointTarget,
    call: ChatCall,
    { signal }: { signal: AbortSignal },
  ): AsyncIterable<StreamEvent> {
    return readAnswer({
      requestId: call.requestId,
      signal,
      open: (after) =>
        after < 0
          ? this.#openStream(target, chatRequest(call), signal)
          : this.#resumeStream(target, call.requestId, after, signal),
      onResume: () => {
        this.#metrics.count("chat.resumed");
        this.#metrics.retried("stream_resumed");
      },
    });
  }

  async wholeChat(
    target: EndpointTarget,
    call: ChatCall,
    { signal }: { signal: AbortSignal },
  ): Promise<WholeAnswer> {
    const res = await this.#send(target, chatRequest(call), signal);
    checkRequestId(res, call.requestId);
    try {
      return { status: res.statusCode, body: await readText(res.body) };
    } catch (err) {
      throw lostAnswer(err);
    }
  }

  async callPlain(
    target: EndpointTarget,
    call: PlainCall,
    { signal }: { signal: AbortSignal },
  ): Promise<PlainAnswer> {
    const req = {
      method: call.method,
      path: call.path,
      headers: { ...call.headers, [REQUEST_ID_HEADER]: call.requestId },
      body: call.body,
    };
    const res = call.sendOnce
      ? await this.#sendOnFreshConnection(target, req, signal)
      : await this.#send(target, req, signal);
    return {
      status: res.statusCode,
      headers: cleanHeaders(res.headers),
      body: res.body,
    };
  }

  async readLoad(
    target: EndpointTarget,
    { eventsAfter, timeoutMs }: { eventsAfter: number; timeoutMs: number },
  ): Promise<LoadReport> {
    const signal = AbortSignal.timeout(timeoutMs);
    const path = `/load?events_after=${eventsAfter}`;
    const res = await this.#send(target, { method: "GET", path }, signal);
    return await readJson<LoadReport>(res);
  }

  async giveOrder(
    target: EndpointTarget,
    order: EndpointOrder,
    { timeoutMs }: { timeoutMs: number },
  ): Promise<boolean> {
    const res = await this.#send(
      target,
      jsonRequest("/orders", order),
      AbortSignal.timeout(timeoutMs),
    );
    await readText(res.body);
    return res.statusCode < 300;
  }

  async moveCache({ from, to, chatKeys, timeoutMs }: {
    from: EndpointTarget;
    to: EndpointTarget;
    chatKeys: readonly string[];
    timeoutMs: number;
  }): Promise<number> {
    const signal = AbortSignal.timeout(timeoutMs);
    const exported = await this.#send(
      from,
      jsonRequest("/cache/export", { chatKeys }),
      signal,
    );
    const imported = await this.#send(to, {
      method: "POST",
      path: "/cache/import",
      headers: { "content-type": "application/json" },
      body: await readText(exported.body),
    }, signal);
    const { count } = await readJson<{ count: number }>(imported);
    return count;
  }

  async close(): Promise<void> {
    const pools = [...this.#pools.values()];
    this.#pools.clear();
    await Promise.all(pools.map((pool) => pool.destroy()));
  }

  async #openStream(
    target: EndpointTarget,
    req: EndpointRequest,
    signal: AbortSignal,
  ): Promise<AsyncIterable<StreamEvent>> {
    const res = await this.#send(target, req, signal);
    if (res.statusCode !== 200) {
      const text = await readText(res.body).catch(() => "");
      throw statusError(res.statusCode, text);
    }
    checkRequestId(res, String(req.headers?.[REQUEST_ID_HEADER]));
    return parseEvents(res.body);
  }

  async #resumeStream(
    target: EndpointTarget,
    requestId: string,
    after: number,
    signal: AbortSignal,
  ): Promise<AsyncIterable<StreamEvent>> {
    return await this.#openStream(target, {
      method: "POST",
      path: `/v1/streams/${encodeURIComponent(requestId)}/resume`,
      headers: {
        "last-event-id": String(after),
        [REQUEST_ID_HEADER]: requestId,
      },
    }, signal);
  }

  async #send(
    target: EndpointTarget,
    req: EndpointRequest,
    signal: AbortSignal,
  ): Promise<Dispatcher.ResponseData> {
    return await this.#dispatch(this.#pool(target.address), req, signal);
  }

  /** No other request shares the connection, so no idle close can race. */
  async #sendOnFreshConnection(
    target: EndpointTarget,
    req: EndpointRequest,
    signal: AbortSignal,
  ): Promise<Dispatcher.ResponseData> {
    const client = new Client(`http://${target.address}`, {
      pipelining: 1,
      connect: { timeout: CONNECT_TIMEOUT_MS },
    });
    const headers = { ...req.headers, connection: "close" };
    try {
      const res = await this.#dispatch(client, { ...req, headers }, signal);
      res.body.once("close", () => void client.destroy());
      return res;
    } catch (err) {
      await client.destroy();
      throw err;
    }
  }

  async #dispatch(
    dispatcher: Dispatcher,
    req: EndpointRequest,
    signal: AbortSignal,
  ): Promise<Dispatcher.ResponseData> {
    const state: SendState = { started: false };
    let res: Dispatcher.ResponseData;
    try {
      res = await dispatcher.compose(trackSend(state)).request({
        ...req,
        signal,
        headersTimeout: this.#firstByteTimeoutMs,
        bodyTimeout: this.#firstByteTimeoutMs,
      });
    } catch (err) {
      throw sendError(err, state, signal);
    }
    if (res.statusCode === 503 && res.headers[NOT_RUN_HEADER] === "true") {
      await res.body.dump();
      throw new EndpointError("endpoint_refused", "the endpoint refused");
    }
    return res;
  }

  #pool(address: string): Pool {
    let pool = this.#pools.get(address);
    if (pool === undefined) {
      pool = new Pool(`http://${address}`, {
        connections: this.#maxConnections,
        pipelining: 1,
        keepAliveTimeout: KEEP_ALIVE_MS,
        connect: { timeout: CONNECT_TIMEOUT_MS },
      });
      this.#pools.set(address, pool);
    }
    return pool;
  }
}

interface EndpointRequest {
  method: Dispatcher.HttpMethod;
  path: string;
  headers?: Record<string, string>;
  body?: Readable | string | null;
}

function chatRequest(call: ChatCall): EndpointRequest {
  return {
    method: "POST",
    path: "/v1/chat/completions",
    headers: {
      "content-type": "application/json",
      [REQUEST_ID_HEADER]: call.requestId,
      [PRIORITY_HEADER]: call.priority,
      [CHAT_KEY_HEADER]: call.chatKey,
    },
    body: call.body,
  };
}

function jsonRequest(path: string, data: unknown): EndpointRequest {
  return {
    method: "POST",
    path,
    headers: { "content-type": "application/json" },
    body: JSON.stringify(data),
  };
}

async function* parseEvents(body: Readable): AsyncIterable<StreamEvent> {
  const events = Readable.toWeb(body)
    .pipeThrough(new TextDecoderStream())
    .pipeThrough(new EventSourceParserStream());
  try {
    for await (const event of events) {
      const sequence = Number(event.id);
      if (event.id !== undefined && Number.isSafeInteger(sequence)) {
        yield { sequence, data: event.data };
      }
    }
  } finally {
    discard(body);
  }
}

/** Drops the rest of a body; its error, if any, is of no interest. */
function discard(body: Readable): void {
  body.on("error", () => undefined);
  body.destroy();
}

async function readText(body: Readable): Promise<string> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of body) {
    bytes += (chunk as Buffer).length;
    if (bytes > MAX_WHOLE_ANSWER_BYTES) {
      discard(body);
      throw new EndpointError("endpoint_failed", "the answer is too large");
    }
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks).toString("utf8");
}

async function readJson<T>(res: Dispatcher.ResponseData): Promise<T> {
  const text = await readText(res.body);
  if (res.statusCode !== 200) {
    throw statusError(res.statusCode, text);
  }
  try {
    return JSON.parse(text) as T;
  } catch (err) {
    throw new EndpointError("endpoint_failed", "the answer is not JSON", {
      cause: err,
    });
  }
}

function checkRequestId(res: Dispatcher.ResponseData, expected: string): void {
  const actual = res.headers[REQUEST_ID_HEADER];
  if (actual !== expected) {
    discard(res.body);
    throw new EndpointError(
      "endpoint_failed",
      "the endpoint answered another request",
    );
  }
}

function sendError(
  err: unknown,
  state: SendState,
  signal: AbortSignal,
): EndpointError {
  if (!state.started) {
    return new EndpointError(
      "endpoint_unreachable",
      "the endpoint could not be reached",
      { cause: err },
    );
  }
  return new EndpointError(
    "endpoint_failed",
    "the endpoint did not answer",
    { cause: err, connectionLost: !signal.aborted },
  );
}

function lostAnswer(err: unknown): EndpointError {
  return err instanceof EndpointError ? err : new EndpointError(
    "endpoint_failed",
    "the answer broke off",
    { cause: err, connectionLost: true },
  );
}

function statusError(status: number, text: string): EndpointError {
  if (status >= 400 && status < 500 && status !== 408 && status !== 429) {
    return new EndpointError(
      "invalid_request",
      `the endpoint refused the request with status ${status}`,
      { faults: [text.slice(0, 500)] },
    );
  }
  return new EndpointError(
    "endpoint_failed",
    `the endpoint answered with status ${status}`,
    { cause: new Error(text.slice(0, 200)) },
  );
}

const HOP_HEADERS = new Set([
  "connection",
  "keep-alive",
  "proxy-authenticate",
  "proxy-authorization",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
]);

/** Drops the headers that concern one connection only. */
export function cleanHeaders(
  headers: Record<string, string | string[] | undefined>,
): Record<string, string | string[]> {
  const kept: Record<string, string | string[]> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value !== undefined && !HOP_HEADERS.has(name.toLowerCase())) {
      kept[name] = value;
    }
  }
  return kept;
}
