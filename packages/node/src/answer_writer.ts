import type { ServerResponse } from "node:http";
import type { RouterError } from "@limpetshed/errors";
import { errorBody, RUN_STATE_HEADER, toRouterError } from "@limpetshed/errors";
import { REQUEST_ID_HEADER } from "@limpetshed/endpoint";
import type { Metrics } from "@limpetshed/observe";

const MS_PER_SECOND = 1_000;

/** Answers with JSON. */
export function writeJson(
  res: ServerResponse,
  status: number,
  { data, headers = {} }: { data: unknown; headers?: Record<string, string> },
): void {
  const body = typeof data === "string" ? data : JSON.stringify(data);
  res.writeHead(status, { "content-type": "application/json", ...headers });
  res.end(body);
}

/** Answers with an error of a known kind and counts it. */
export function writeError(
  res: ServerResponse,
  err: unknown,
  { metrics, requestId }: { metrics: Metrics; requestId: string },
): RouterError {
  const known = toRouterError(err);
  metrics.countRefusal(known.kind);
  if (res.headersSent || res.destroyed) {
    res.destroy();
    return known;
  }
  const { retryAfterMs } = known;
  if (!res.req.complete) {
    // What is left of the body is not read: the connection cannot be kept.
    res.setHeader("connection", "close");
    res.once("finish", () => res.req.destroy());
  }
  writeJson(res, known.status, {
    data: errorBody(known, { requestId }),
    headers: {
      [RUN_STATE_HEADER]: known.run,
      [REQUEST_ID_HEADER]: requestId,
      ...(retryAfterMs === undefined ? {} : {
        "retry-after": String(
          Math.max(1, Math.ceil(retryAfterMs / MS_PER_SECOND)),
        ),
      }),
    },
  });
  return known;
}

/**
 * Streams data as server-sent events. A failure after the first event ends in
 * an error event instead of `[DONE]`.
 */
export async function writeEvents(
  res: ServerResponse,
  events: AsyncIterable<string>,
  { metrics, requestId }: { metrics: Metrics; requestId: string },
): Promise<RouterError | undefined> {
  const iterator = events[Symbol.asyncIterator]();
  let next = await iterator.next();
  res.writeHead(200, {
    "content-type": "text/event-stream",
    "cache-control": "no-cache",
    [REQUEST_ID_HEADER]: requestId,
  });
  try {
    while (next.done !== true) {
      await writeChunk(res, `data: ${next.value}\n\n`);
      if (res.destroyed) {
        await iterator.return?.();
        return undefined;
      }
      next = await iterator.next();
    }
    res.end();
    return undefined;
  } catch (err) {
    const known = toRouterError(err);
    metrics.countRefusal(known.kind);
    const body = JSON.stringify(errorBody(known, { requestId }));
    res.end(`event: error\ndata: ${body}\n\n`);
    return known;
  }
}

/** Writes and waits while the reader is slow, so that memory stays bounded. */
async function writeChunk(res: ServerResponse, text: string): Promise<void> {
  if (res.destroyed || res.write(text)) {
    return;
  }
  await new Promise<void>((resolve) => {
    const done = () => {
      res.off("drain", done);
      res.off("close", done);
      resolve();
    };
    res.once("drain", done);
    res.once("close", done);
  });
}
