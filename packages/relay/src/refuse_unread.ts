import type { IncomingMessage, ServerResponse } from "node:http";
import type { Clock } from "@limpetshed/base";
import type { ErrorKind, RouterError } from "@limpetshed/errors";
import type { ConnectionClosures } from "./connection_closures.ts";
import type { ResponseWriter } from "./response_writer.ts";

/** Options of {@linkcode refuseUnread}. */
export interface RefuseUnreadOptions {
  clock: Clock;
  closures: ConnectionClosures;
  req: IncomingMessage;
  res: ServerResponse;
  writer: ResponseWriter;
  requestId: string | undefined;
}

/** Time in which a client may read a refusal while it still sends. */
const LINGER_MS = 500;
/** Bytes that are read and dropped in that time. */
const LINGER_BYTES = 262_144;
/** Refusals of clients that are likely to read a response while they send. */
const LINGERING_KINDS: ReadonlySet<ErrorKind> = new Set([
  "body_too_large",
  "memory_full",
]);

/**
 * Refuses a request whose body has not arrived whole, and closes its connection. A
 * connection that is closed with bytes unread is reset, which may take the response
 * from a client that is still sending; so some of what is sent is read and dropped
 * first.
 */
export function refuseUnread(
  err: RouterError,
  { clock, closures, req, res, writer, requestId }: RefuseUnreadOptions,
): void {
  const { socket } = req;
  if (!LINGERING_KINDS.has(err.kind)) {
    writer.sendError(err, { requestId, closeConnection: true });
    if (err.kind === "small_chunks") {
      // Each further read costs as much as those that led to the refusal.
      res.once("finish", () => socket.destroy());
    }
    return;
  }
  const timer = clock.setTimer(LINGER_MS, () => socket.destroy());
  closures.add(socket, () => timer.cancel());
  const firstByte = socket.bytesRead;
  writer.sendError(err, { requestId, closeConnection: true, keepOpen: true });
  req.once("end", () => res.end());
  req.on("data", () => {
    if (socket.bytesRead - firstByte > LINGER_BYTES) {
      res.end();
    }
  });
}
