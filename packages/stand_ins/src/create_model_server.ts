import type { IncomingMessage, ServerResponse } from "node:http";
import {
  CHAT_KEY_HEADER,
  type EndpointOrder,
  PRIORITY_HEADER,
  REQUEST_ID_HEADER,
  type StreamEvent,
  type WorkPriority,
} from "@limpetshed/endpoint";
import { parseRunRequest } from "./parse_run_request.ts";
import {
  LoopbackHttpServer,
  readBody,
  sendJson,
} from "./loopback_http_server.ts";
import type { FakeModelEngine } from "./fake_model_engine.ts";
import type { ModelRun } from "./model_run.ts";
import { chatCompletionBody } from "./chat_completion_body.ts";

/**
 * Creates a server that exposes a {@linkcode FakeModelEngine} through the
 * endpoint API described in docs/ENDPOINTS.md.
 */
export function createModelServer(engine: FakeModelEngine): LoopbackHttpServer {
  return new LoopbackHttpServer(async (req, res) => {
    if (engine.down) {
      req.socket.destroy();
      return;
    }
    const url = new URL(req.url ?? "/", "http://localhost");
    const resume = /^\/v1\/streams\/([^/]+)\/resume$/.exec(url.pathname);
    if (resume !== null) {
      await resumeStream(engine, req, res);
      return;
    }
    switch (url.pathname) {
      case "/v1/chat/completions":
        await runChat(engine, req, res);
        return;
      case "/load": {
        const after = Number(url.searchParams.get("events_after") ?? "0");
        sendJson(res, 200, engine.loadReport(after));
        return;
      }
      case "/orders": {
        const order = JSON.parse(await readBody(req)) as EndpointOrder;
        const taken = engine.order(order);
        sendJson(res, taken ? 200 : 409, { taken });
        return;
      }
      case "/cache/export": {
        const { chatKeys } = JSON.parse(await readBody(req)) as {
          chatKeys: string[];
        };
        sendJson(res, 200, engine.exportCache(chatKeys));
        return;
      }
      case "/cache/import": {
        const blocks = JSON.parse(await readBody(req)) as ReturnType<
          FakeModelEngine["exportCache"]
        >;
        sendJson(res, 200, { count: engine.importCache(blocks) });
        return;
      }
      default:
        sendJson(res, 404, { error: "no such path" });
    }
  });
}

async function runChat(
  engine: FakeModelEngine,
  req: IncomingMessage,
  res: ServerResponse,
): Promise<void> {
  const requestId = header(req, REQUEST_ID_HEADER);
  const body = await readBody(req);
  if (engine.down) {
    req.socket.destroy();
    return;
  }
  const parsed = parseRunRequest(body, {
    requestId,
    priority: header(req, PRIORITY_HEADER) as WorkPriority,
    chatKey: header(req, CHAT_KEY_HEADER),
  });
  const run = engine.start(parsed);
  res.on("close", () => {
    if (!res.writableFinished && !parsed.stream) {
      engine.cancel(requestId);
    }
  });
  if (parsed.stream) {
    cancelUnlessResumed(engine, res, run);
    await writeEvents(res, run, -1);
    return;
  }
  try {
    for await (const _event of run.read(-1)) {
      // Waits for the run to end; the body is built from its usage.
    }
  } catch {
    res.destroy();
    return;
  }
  res.writeHead(200, {
    "content-type": "application/json",
    [REQUEST_ID_HEADER]: requestId,
  });
  res.end(chatCompletionBody(run));
}

async function resumeStream(
  engine: FakeModelEngine,
  req: IncomingMessage,
  res: ServerResponse,
): Promise<void> {
  const run = engine.findRun(header(req, REQUEST_ID_HEADER));
  if (run === undefined) {
    sendJson(res, 404, { error: "no such stream" });
    return;
  }
  cancelUnlessResumed(engine, res, run);
  await writeEvents(res, run, Number(header(req, "last-event-id")));
}

const RESUME_WINDOW_MS = 1_000;

/** Cancels a run whose reader disconnects and does not resume in time. */
function cancelUnlessResumed(
  engine: FakeModelEngine,
  res: ServerResponse,
  run: ModelRun,
): void {
  run.setConnection(res);
  res.on("close", () => {
    setTimeout(() => {
      if (run.isCurrentConnection(res)) {
        engine.cancel(run.requestId);
      }
    }, RESUME_WINDOW_MS).unref();
  });
}

async function writeEvents(
  res: ServerResponse,
  run: ModelRun,
  after: number,
): Promise<void> {
  res.writeHead(200, {
    "content-type": "text/event-stream",
    [REQUEST_ID_HEADER]: run.requestId,
  });
  res.flushHeaders();
  try {
    for await (const event of run.read(after)) {
      await writeEvent(res, event);
    }
    res.end();
  } catch {
    res.destroy();
  }
}

async function writeEvent(
  res: ServerResponse,
  event: StreamEvent,
): Promise<void> {
  if (!res.write(`id: ${event.sequence}\ndata: ${event.data}\n\n`)) {
    await new Promise<void>((resolve) => {
      res.once("drain", resolve);
      res.once("close", resolve);
    });
  }
}

function header(req: IncomingMessage, name: string): string {
  const value = req.headers[name];
  return typeof value === "string" ? value : "";
}
