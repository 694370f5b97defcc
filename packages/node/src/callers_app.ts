import type { IncomingMessage, ServerResponse } from "node:http";
import { pipeline } from "node:stream/promises";
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
import { writeError, writeEvents, writeJson } from "./answer_writer.ts";
import { authenticateMember, authorize, type Caller } from "./authenticator.ts";
import { parseChatRequest } from "./chat_request.ts";
import { DEADLINE_REASON } from "./chat_service.ts";
import type { FleetNode } from "./fleet_node.ts";
import { addHealthRoutes } from "./health_routes.ts";
import { readAll } from "./plain_service.ts";
import type { RequestGate } from "./request_gate.ts";

/** Options of {@linkcode callersApp}. */
export interface CallersAppOptions {
  node: FleetNode;
  gate: RequestGate;
  settings: Settings;
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
}

/** Request header with the caller's own limit on the time of a request. */
export const TIMEOUT_HEADER = "x-request-timeout-ms";
/** Request header with the identity of a chat. */
export const CHAT_HEADER = "x-chat-id";
const SERVICE_PATH = /^\/v1\/services\/([A-Za-z0-9_-]{1,64})(\/.*)?$/;
const DROPPED_HEADERS = new Set([
  "authorization",
  "host",
  "idempotency-key",
  "content-length",
  "expect",
  CHAT_HEADER,
  TIMEOUT_HEADER,
  REQUEST_ID_HEADER,
]);

/** One request while it is being answered. */
interface Exchange {
  req: IncomingMessage;
  res: ServerResponse;
  requestId: string;
  caller: Caller;
  signal: AbortSignal;
}

type Answer = (exchange: Exchange) => Promise<RouterError | undefined | void>;

/** The callers' interface as a listener for an HTTP server. */
export function callersApp(
  options: CallersAppOptions,
): (req: IncomingMessage, res: ServerResponse) => void {
  const app = createApp();
  const router = createRouter();
  const on = (answer: Answer) =>
    eventHandler(async (event) => await answerRequest(options, event, answer));
  addHealthRoutes(router, options);
  router.post("/v1/chat/completions", on((ex) => answerChat(options, ex)));
  router.get("/v1/models", on((ex) => answerModels(options, ex)));
  router.use("/v1/services/**", on((ex) => answerPlain(options, ex)));
  app.use(router);
  app.use(
    on(() => Promise.reject(new RouterError("not_found", "no such path"))),
  );
  const listener = toNodeListener(app);
  return (req, res) => void listener(req, res);
}

async function answerRequest(
  options: CallersAppOptions,
  event: H3Event,
  answer: Answer,
): Promise<void> {
  const { metrics, clock, logger, gate, node, settings } = options;
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
  let leave: () => void = () => undefined;
  try {
    if (!node.spread.synced) {
      throw new RouterError("node_not_ready", "this node is not ready yet");
    }
    const { snapshot } = node.keeper;
    caller = authenticateMember(snapshot, req.headers.authorization);
    leave = gate.enter(caller.name);
    const { signal } = abort;
    const exchange = { req, res, requestId, caller, signal };
    failure = await answer(exchange) ?? undefined;
  } catch (err) {
    failure = writeError(res, err, { metrics, requestId });
  } finally {
    leave();
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

async function answerChat(
  { node, settings, metrics }: CallersAppOptions,
  { req, res, requestId, caller, signal }: Exchange,
): Promise<RouterError | undefined> {
  const body = await readAll(req, settings.limits.max_body);
  const chat = parseChatRequest(body.toString("utf8"), {
    requestId,
    member: caller.name,
    headerKey: headerText(req, CHAT_HEADER),
    signal,
  });
  authorize(caller, chat.service);
  if (chat.stream) {
    const events = node.chatService.stream(chat);
    return await writeEvents(res, events, { metrics, requestId });
  }
  const answer = await node.chatService.whole(chat);
  writeJson(res, answer.status, {
    data: answer.body,
    headers: { [REQUEST_ID_HEADER]: requestId },
  });
  return undefined;
}

async function answerModels(
  { node }: CallersAppOptions,
  { res, requestId, caller }: Exchange,
): Promise<void> {
  const { snapshot } = node.keeper;
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

async function answerPlain(
  { node, settings }: CallersAppOptions,
  { req, res, requestId, caller, signal }: Exchange,
): Promise<void> {
  const url = req.url ?? "/";
  const [path = "", query] = url.split("?", 2);
  const match = SERVICE_PATH.exec(path);
  if (match === null) {
    throw new RouterError("not_found", "no such path");
  }
  const service = match[1]!;
  authorize(caller, service);
  const tail = match[2] ?? "/";
  const reply = await node.plainService.call({
    requestId,
    member: caller.name,
    service,
    method: req.method ?? "GET",
    path: query === undefined ? tail : `${tail}?${query}`,
    headers: forwardedHeaders(req),
    body: hasBody(req) ? limitBody(req, settings.limits.max_body) : undefined,
    idempotencyKey: headerText(req, "idempotency-key"),
    signal,
  });
  res.writeHead(reply.status, {
    ...removeHopByHopHeaders(reply.headers),
    [REQUEST_ID_HEADER]: requestId,
    [RUN_STATE_HEADER]: "ran",
    ...(reply.replayed ? { "x-limpetshed-replayed": "true" } : {}),
  });
  await pipeline(reply.body, res).catch((err: unknown) => {
    res.destroy();
    throw new RouterError("answer_incomplete", "the answer broke off", {
      cause: err,
      run: "ran",
    });
  });
}

function requestTimeout(req: IncomingMessage, longestMs: number): number {
  const asked = Number(headerText(req, TIMEOUT_HEADER) ?? longestMs);
  return Number.isFinite(asked) && asked > 0
    ? Math.min(asked, longestMs)
    : longestMs;
}

function headerText(req: IncomingMessage, name: string): string | undefined {
  const value = req.headers[name];
  return typeof value === "string" && value !== "" ? value : undefined;
}

function forwardedHeaders(req: IncomingMessage): Record<string, string> {
  const kept: Record<string, string> = {};
  for (
    const [name, value] of Object.entries(removeHopByHopHeaders(req.headers))
  ) {
    if (!DROPPED_HEADERS.has(name)) {
      kept[name] = Array.isArray(value) ? value.join(", ") : value;
    }
  }
  return kept;
}

function hasBody(req: IncomingMessage): boolean {
  return req.headers["content-length"] !== undefined
    ? req.headers["content-length"] !== "0"
    : req.headers["transfer-encoding"] !== undefined;
}

/** A declared length over the limit is refused before anything is sent. */
function limitBody(req: IncomingMessage, maxBytes: number): IncomingMessage {
  if (Number(req.headers["content-length"] ?? 0) > maxBytes) {
    throw new RouterError(
      "body_too_large",
      `the body is larger than ${maxBytes} bytes`,
    );
  }
  return req;
}
