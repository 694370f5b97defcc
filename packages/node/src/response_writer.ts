import type { ServerResponse } from "node:http";
import type { Readable } from "node:stream";
import { finished } from "node:stream/promises";
import { abortResponse } from "@limpetshed/base";
import {
  errorBody,
  RouterError,
  RUN_STATE_HEADER,
  toRouterError,
} from "@limpetshed/errors";
import { REQUEST_ID_HEADER } from "@limpetshed/endpoint";
import type { Metrics } from "@limpetshed/observe";

const MS_PER_SECOND = 1_000;

/** Sends a JSON response. */
export function writeJson(
  res: ServerResponse,
  status: number,
  { data, headers = {} }: { data: unknown; headers?: Record<string, string> },
): void {
  const body = typeof data === "string" ? data : JSON.stringify(data);
  res.writeHead(status, { "content-type": "application/json", ...headers });
  res.end(body);
}

/**
 * Sends an error response and counts the error. If the response has already
 * begun, closes the connection instead.
 */
export function writeError(
  res: ServerResponse,
  err: unknown,
  { metrics, requestId }: { metrics: Metrics; requestId: string },
): RouterError {
  const routerErr = toRouterError(err);
  metrics.countRefusal(routerErr.kind);
  if (res.headersSent || res.destroyed) {
    abortResponse(res);
    return routerErr;
  }
  const { retryAfterMs } = routerErr;
  if (!res.req.complete) {
    // The rest of the request body stays unread, so the connection is not reused.
    res.setHeader("connection", "close");
    res.once("finish", () => res.req.destroy());
  }
  writeJson(res, routerErr.status, {
    data: errorBody(routerErr, { requestId }),
    headers: {
      [RUN_STATE_HEADER]: routerErr.run,
      [REQUEST_ID_HEADER]: requestId,
      ...(retryAfterMs === undefined ? {} : {
        "retry-after": String(
          Math.max(1, Math.ceil(retryAfterMs / MS_PER_SECOND)),
        ),
      }),
    },
  });
  return routerErr;
}

/**
 * Sends data as server-sent events. An error before the first event is thrown;
 * a later one ends the stream with an `error` event instead of `[DONE]`.
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
    const routerErr = toRouterError(err);
    metrics.countRefusal(routerErr.kind);
    const body = JSON.stringify(errorBody(routerErr, { requestId }));
    res.end(`event: error\ndata: ${body}\n\n`);
    return routerErr;
  }
}

/**
 * Sends the rest of a response whose head is sent. If the body breaks off, closes
 * the connection such that the client can tell.
 *
 * @throws RouterError `answer_incomplete` if the client does not get the whole
 *   body.
 */
export async function writeBody(
  res: ServerResponse,
  body: Readable,
): Promise<void> {
  try {
    for await (const chunk of body) {
      await writeChunk(res, chunk as Uint8Array);
      if (res.destroyed) {
        throw new Error("the client has closed the connection");
      }
    }
    res.end();
    await finished(res);
  } catch (err) {
    abortResponse(res);
    throw new RouterError("answer_incomplete", "the answer broke off", {
      cause: err,
      run: "ran",
    });
  }
}

/** Writes a chunk; waits for `drain` so that a slow client cannot fill memory. */
async function writeChunk(
  res: ServerResponse,
  chunk: string | Uint8Array,
): Promise<void> {
  if (res.destroyed || res.write(chunk)) {
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
