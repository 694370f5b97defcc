import { type Dispatcher, Pool } from "undici";
import {
  createGuardedClient,
  limitInformationalResponses,
} from "@limpetshed/base";
import type { Metrics } from "@limpetshed/observe";
import { readChatStream } from "./chat_stream.ts";
import {
  type ChatCall,
  type ChatResponse,
  EndpointClient,
  type EndpointOrder,
  type EndpointTarget,
  type LoadReport,
  type PlainCall,
  type PlainResponse,
  type StreamEvent,
} from "./endpoint_client.ts";
import { EndpointError } from "./endpoint_error.ts";
import {
  brokenResponseError,
  chatRequest,
  checkRequestId,
  drain,
  type EndpointRequest,
  jsonRequest,
  NOT_RUN_HEADER,
  parseServerSentEvents,
  readJson,
  readText,
  removeHopByHopHeaders,
  REQUEST_ID_HEADER,
  sendError,
  statusError,
} from "./endpoint_http.ts";
import { type SendState, trackSend } from "./track_send.ts";

const CONNECT_TIMEOUT_MS = 1_000;
const KEEP_ALIVE_TIMEOUT_MS = 4_000;

/** Options of {@linkcode HttpEndpointClient}. */
export interface HttpEndpointClientOptions {
  metrics: Metrics;
  /** Timeout for response headers and between body chunks. */
  firstByteTimeoutMs?: number;
  /** Maximum number of pooled connections per endpoint. */
  maxConnections?: number;
}

/** Endpoint client over HTTP/1.1 with a connection pool per endpoint. */
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
    return readChatStream({
      requestId: call.requestId,
      signal,
      open: (after) =>
        after < 0
          ? this.#openStream(target, chatRequest(call), signal)
          : this.#resumeStream(target, call.requestId, after, signal),
      onResume: () => {
        this.#metrics.count("chat.resumed");
        this.#metrics.countRetry("stream_resumed");
      },
    });
  }

  async runChat(
    target: EndpointTarget,
    call: ChatCall,
    { signal }: { signal: AbortSignal },
  ): Promise<ChatResponse> {
    const res = await this.#send(target, chatRequest(call), signal);
    checkRequestId(res, call.requestId);
    try {
      return { status: res.statusCode, body: await readText(res.body) };
    } catch (err) {
      throw brokenResponseError(err);
    }
  }

  async callPlain(
    target: EndpointTarget,
    call: PlainCall,
    { signal }: { signal: AbortSignal },
  ): Promise<PlainResponse> {
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
      headers: removeHopByHopHeaders(res.headers),
      body: res.body,
    };
  }

  async fetchLoadReport(
    target: EndpointTarget,
    { eventsAfter, timeoutMs }: { eventsAfter: number; timeoutMs: number },
  ): Promise<LoadReport> {
    const signal = AbortSignal.timeout(timeoutMs);
    const path = `/load?events_after=${eventsAfter}`;
    const res = await this.#send(target, { method: "GET", path }, signal);
    return await readJson<LoadReport>(res);
  }

  async sendOrder(
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

  async copyCache({ from, to, chatKeys, timeoutMs }: {
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
    return parseServerSentEvents(res.body);
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

  /** Uses a connection of its own, because a pooled one may be closed by the
   * endpoint while idle, just as the request is sent. */
  async #sendOnFreshConnection(
    target: EndpointTarget,
    req: EndpointRequest,
    signal: AbortSignal,
  ): Promise<Dispatcher.ResponseData> {
    const client = createClient(`http://${target.address}`);
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
    const state: SendState = { writeStarted: false };
    let res: Dispatcher.ResponseData;
    try {
      res = await dispatcher.compose(
        limitInformationalResponses(),
        trackSend(state),
      ).request({
        ...req,
        signal,
        headersTimeout: this.#firstByteTimeoutMs,
        bodyTimeout: this.#firstByteTimeoutMs,
      });
    } catch (err) {
      throw sendError(err, state, signal);
    }
    if (res.statusCode === 503 && res.headers[NOT_RUN_HEADER] === "true") {
      await drain(res.body);
      throw new EndpointError("endpoint_refused", "the endpoint refused");
    }
    return res;
  }

  #pool(address: string): Pool {
    let pool = this.#pools.get(address);
    if (pool === undefined) {
      pool = new Pool(`http://${address}`, {
        connections: this.#maxConnections,
        factory: (origin) => createClient(origin),
      });
      this.#pools.set(address, pool);
    }
    return pool;
  }
}

/** Creates a client for one connection that fails reset responses. */
function createClient(origin: string | URL): Dispatcher {
  return createGuardedClient(origin, {
    keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
    connectTimeoutMs: CONNECT_TIMEOUT_MS,
  });
}
