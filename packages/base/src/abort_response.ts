import type { ServerResponse } from "node:http";
import { resetConnection } from "./reset_connection.ts";

/**
 * Closes the connection of an incomplete response such that its client can tell.
 * A client with HTTP/1.0 takes an orderly close for the end of a response
 * without a length, so its connection is reset.
 */
export function abortResponse(res: ServerResponse): void {
  const endsWithConnection = res.headersSent &&
    res.req.httpVersion === "1.0" && !res.writableFinished;
  if (endsWithConnection && res.socket !== null) {
    resetConnection(res.socket);
  } else {
    res.destroy();
  }
}
