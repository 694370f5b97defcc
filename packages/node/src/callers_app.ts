import type { IncomingMessage, ServerResponse } from "node:http";
import {
  createApp,
  createRouter,
  eventHandler,
  type H3Event,
  toNodeListener,
} from "h3";
import { ulid } from "ulid";
import type { Clock } from "@limpetshed/base";
import { removeHopByHopHeaders, REQUEST_ID_HEADER } from "@limpetshed/endpoint";
import { RouterError, RUN_STATE_HEADER } from "@limpetshed/errors";
import type { Logger, Metrics } from "@limpetshed/observe";
import type { Settings } from "@limpetshed/settings";
import {
  writeBody,
  writeError,
  writeEvents,
  writeJson,
} from "./response_writer.ts";
import { authenticateMember, authorize, type Caller } from "./authenticator.ts";
import { parseChatRequest } from "./chat_request.ts";
import { DEADLINE_REASON } from "./chat_service.ts";
import type { FleetNode } from "./fleet_node.ts";
import { addHealthRoutes } from "./health_routes.ts";
import { readBody } from "./plain_service.ts";
import type { RequestLimiter } from "./request_limiter.ts";

/** Options of {@linkcode makeCallersApp}. */
export interface CallersAppOptions {
  node: FleetNode;
  requestLimiter: RequestLimiter;
  settings: Settings;
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
}

/** Request header with which a caller shortens the request timeout. */
export const REQUEST_TIMEOUT_HEADER = "x-request-timeout-ms";
/** Request header with the caller's key of a chat. */
export const CHAT_ID_HEADER = "x-chat-id";
const SERVICE_PATH = /^\/v1\/services\/([A-Za-z0-9_-]{1,64})(\/.*)?$/;
const DROPPED_HEADERS = new Set([
  "authorization",
  "host",
  "idempotency-key",
  "content-length",
  "expect",
  CHAT_ID_HEADER,
  REQUEST_TIMEOUT_HEADER,
  REQUEST_ID_HEADER,
]);

/** An authenticated request in progress. */
interface RequestContext {
  req: IncomingMessage;
  res: ServerResponse;
  requestId: string;
  caller: Caller;
  signal: AbortSignal;
}

type RequestHandler = (
  context: RequestContext,
) => Promise<RouterError | undefined | void>;

/** Makes the request listener of the callers' HTTP API. */
export function makeCallersApp(
  options: CallersAppOptions,
): (req: IncomingMessage, res: ServerResponse) => void {
  const app = createApp();
  const router = createRouter();
  const toEventHandler = (handler: RequestHandler) =>
    eventHandler(async (event) => await handleRequest(options, event, handler));
  addHealthRoutes(router, options);
  router.post(
    "/v1/chat/completions",
    toEventHandler((context) => handleChat(options, context)),
  );
  router.get(
    "/v1/models",
    toEventHandler((context) => handleModels(options, context)),
  );
  router.use(
    "/v1/services/**",
    toEventHandler((context) => handlePlain(options, context)),
  );
  app.use(router);
  app.use(
    toEventHandler(() =>
      Promise.reject(new RouterError("not_found", "no such path"))
    ),
  );
  const listener = toNodeListener(app);
  return (req, res) => void listener(req, res);
}

async function handleRequest(
  options: CallersAppOptions,
  event: H3Event,
  handler: RequestHandler,
): Promise<void> {
  const { metrics, clock, logger, requestLimiter, node, settings } = options;
  const { req, res } = event.node;
  const requestId = ulid();
  const startedMs = clock.monotonicMs();
  metrics.count("request.total");
  if (node.stopping) {
    res.setHeader("connection", "close");
  }
  const abort = new AbortController();
  res.once("close", () => {
    if (!res.writableFinished) {
      abort.abort("caller");
    }
  });
  let failure: RouterError | undefined;
  let caller: Caller | undefined;
  const deadline = clock.setTimer(
    requestTimeout(req, settings.limits.request_timeout),
    () => abort.abort(DEADLINE_REASON),
  );
  let release: () => void = () => undefined;
  try {
    if (!node.configSync.synced) {
      throw new RouterError("node_not_ready", "this node is not ready yet");
    }
    const { snapshot } = node.configRepository;
    caller = authenticateMember(snapshot, req.headers.authorization);
    release = requestLimiter.acquire(caller.name);
    const { signal } = abort;
    const context = { req, res, requestId, caller, signal };
    failure = await handler(context) ?? undefined;
  } catch (err) {
    failure = writeError(res, err, { metrics, requestId });
  } finally {
    release();
    deadline.cancel();
    const ms = clock.monotonicMs() - startedMs;
    metrics.timing("request.duration", ms);
    logRequest(logger, { req, res, requestId, caller, failure, ms });
  }
}

function logRequest(
  logger: Logger,
  { req, res, requestId, caller, failure, ms }: {
    req: IncomingMessage;
    res: ServerResponse;
    requestId: string;
    caller: Caller | undefined;
    failure: RouterError | undefined;
    ms: number;
  },
): void {
  logger.info({
    requestId,
    member: caller?.name,
    method: req.method,
    path: req.url?.split("?")[0]?.slice(0, 200),
    status: res.statusCode,
    ms: Math.round(ms),
    ...(failure === undefined ? {} : {
      refusal: failure.kind,
      run: failure.run,
      reason: failure.message,
    }),
  }, "request");
}

async function handleChat(
  { node, settings, metrics }: CallersAppOptions,
  { req, res, requestId, caller, signal }: RequestContext,
): Promise<RouterError | undefined> {
  const body = await readBody(req, settings.limits.max_body);
  const chat = parseChatRequest(body.toString("utf8"), {
    requestId,
    member: caller.name,
    headerKey: headerText(req, CHAT_ID_HEADER),
    signal,
  });
  authorize(caller, chat.service);
  if (chat.stream) {
    const events = node.chatService.stream(chat);
    return await writeEvents(res, events, { metrics, requestId });
  }
  const response = await node.chatService.whole(chat);
  writeJson(res, response.status, {
    data: response.body,
    headers: { [REQUEST_ID_HEADER]: requestId },
  });
  return undefined;
}

async function handleModels(
  { node }: CallersAppOptions,
  { res, requestId, caller }: RequestContext,
): Promise<void> {
  const { snapshot } = node.configRepository;
  const models = caller.member.services.filter((name) =>
    snapshot.service(name)?.kind === "model"
  );
  const data = models.map((id) => ({
    id,
    object: "model",
    owned_by: "limpetshed",
  }));
  writeJson(res, 200, {
    data: { object: "list", data },
    headers: { [REQUEST_ID_HEADER]: requestId },
  });
  return await Promise.resolve();
}

async function handlePlain(
  { node, settings }: CallersAppOptions,
  { req, res, requestId, caller, signal }: RequestContext,
): Promise<void> {
  const url = req.url ?? "/";
  const [path = "", query] = url.split("?", 2);
  const match = SERVICE_PATH.exec(path);
  if (match === null) {
    throw new RouterError("not_found", "no such path");
  }
  const service = match[1]!;
  authorize(caller, service);
  const servicePath = match[2] ?? "/";
  const response = await node.plainService.call({
    requestId,
    member: caller.name,
    service,
    method: req.method ?? "GET",
    path: query === undefined ? servicePath : `${servicePath}?${query}`,
    headers: forwardedHeaders(req),
    body: hasBody(req)
      ? checkContentLength(req, settings.limits.max_body)
      : undefined,
    idempotencyKey: headerText(req, "idempotency-key"),
    signal,
  });
  res.writeHead(response.status, {
    ...removeHopByHopHeaders(response.headers),
    [REQUEST_ID_HEADER]: requestId,
    [RUN_STATE_HEADER]: "ran",
    ...(response.replayed ? { "x-limpetshed-replayed": "true" } : {}),
  });
  await writeBody(res, response.body);
}

function requestTimeout(req: IncomingMessage, maxMs: number): number {
  const requestedMs = Number(headerText(req, REQUEST_TIMEOUT_HEADER) ?? maxMs);
  return Number.isFinite(requestedMs) && requestedMs > 0
    ? Math.min(requestedMs, maxMs)
    : maxMs;
}

function headerText(req: IncomingMessage, name: string): string | undefined {
  const value = req.headers[name];
  return typeof value === "string" && value !== "" ? value : undefined;
}

function forwardedHeaders(req: IncomingMessage): Record<string, string> {
  const forwarded: Record<string, string> = {};
  for (
    const [name, value] of Object.entries(removeHopByHopHeaders(req.headers))
  ) {
    if (!DROPPED_HEADERS.has(name)) {
      forwarded[name] = Array.isArray(value) ? value.join(", ") : value;
    }
  }
  return forwarded;
}

function hasBody(req: IncomingMessage): boolean {
  return req.headers["content-length"] !== undefined
    ? req.headers["content-length"] !== "0"
    : req.headers["transfer-encoding"] !== undefined;
}

/** Rejects a declared length over the limit before anything is forwarded. */
function checkContentLength(
  req: IncomingMessage,
  maxBytes: number,
): IncomingMessage {
  if (Number(req.headers["content-length"] ?? 0) > maxBytes) {
    throw new RouterError(
      "body_too_large",
      `the body is larger than ${maxBytes} bytes`,
    );
  }
  return req;
}
