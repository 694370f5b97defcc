import type * as http from "node:http";
import { RouterError } from "@limpetshed/errors";
import type {
  ClientAccount,
  RequestLimits,
  Route,
  RouteTable,
} from "@limpetshed/routing";
import type { StreamResumption } from "./relay_request.ts";
import type { RequestMetadata } from "./wire_format.ts";

/** Bounds of `retry-after` before the first configuration is loaded. Within
 * them it equals the uptime: the remaining loading time is estimated to be as
 * long as the time already spent. */
const MIN_NOT_READY_RETRY_AFTER_MS = 300;
const MAX_NOT_READY_RETRY_AFTER_MS = 2_000;

/** A client that names only one of the two ids resumes a stream as well: it has
 * received some of it. */
export function parseResumption(
  { lastEventId, resumedRequestId }: RequestMetadata,
  { kind }: Route,
): StreamResumption | undefined {
  return kind === "stream" &&
      (lastEventId !== undefined || resumedRequestId !== undefined)
    ? { firstRequestId: resumedRequestId, lastEventId }
    : undefined;
}

/** The failure of a request that comes before the first configuration. */
export function notReadyError(uptimeMs: number): RouterError {
  return new RouterError("node_not_ready", "no configuration is known yet", {
    retryAfterMs: Math.min(
      MAX_NOT_READY_RETRY_AFTER_MS,
      Math.max(MIN_NOT_READY_RETRY_AFTER_MS, uptimeMs),
    ),
  });
}

/** @throws RouterError `headers_too_large`. */
export function checkHeaderSize(
  req: http.IncomingMessage,
  { maxHeaderBytes }: RequestLimits,
): void {
  // Adds two bytes per name for `: `, and two per value for CRLF.
  const bytes = req.rawHeaders.reduce((sum, part) => sum + part.length + 2, 0);
  if (bytes > maxHeaderBytes) {
    throw new RouterError(
      "headers_too_large",
      `the headers are larger than ${maxHeaderBytes} bytes`,
    );
  }
}

/** @throws RouterError `not_found`. */
export function findRoute(req: http.IncomingMessage, table: RouteTable): Route {
  const url = req.url ?? "/";
  const queryStart = url.indexOf("?");
  const path = queryStart < 0 ? url : url.slice(0, queryStart);
  const route = table.findRoute(req.headers.host ?? "", path);
  if (route === undefined) {
    throw new RouterError("not_found", "no route for this host and path");
  }
  return route;
}

/** The account of the request's key; undefined if none is needed.
 *
 * @throws RouterError `unauthenticated`.
 */
export function findAccount(
  { apiKey }: RequestMetadata,
  { route, table }: { route: Route; table: RouteTable },
): ClientAccount | undefined {
  if (!table.requiresApiKeys) {
    return undefined;
  }
  const account = apiKey === undefined ? undefined : table.account(apiKey);
  if (account === undefined && !route.isPublic) {
    throw new RouterError("unauthenticated", "the key is missing or unknown");
  }
  return account;
}
