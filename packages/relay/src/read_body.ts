import { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";
import { RouterError } from "@limpetshed/errors";

/**
 * Buffers the complete request body, so that the request can be retried.
 * Resolves to null if the request has no body.
 *
 * @throws RouterError `body_too_large`, or `caller_cancelled` when the client
 *   disconnects before the end of the body.
 */
export function readBody(
  req: IncomingMessage,
  { maxBytes }: { maxBytes: number },
): Promise<Buffer | null> {
  const contentLength = Number(req.headers["content-length"] ?? 0);
  if (contentLength > maxBytes) {
    return Promise.reject(bodyTooLargeError(maxBytes));
  }
  const hasTransferEncoding = req.headers["transfer-encoding"] !== undefined;
  if (contentLength === 0 && !hasTransferEncoding) {
    return Promise.resolve(null);
  }
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    req.on("data", (chunk: Buffer) => {
      bytes += chunk.length;
      if (bytes > maxBytes) {
        req.pause();
        reject(bodyTooLargeError(maxBytes));
        return;
      }
      chunks.push(chunk);
    });
    let isRead = false;
    req.once("end", () => {
      isRead = true;
      resolve(Buffer.concat(chunks));
    });
    req.once("error", (err) => reject(clientDisconnectedError(err)));
    req.once("close", () => {
      // Each request closes; an error takes longer to make than the rest of this.
      if (!isRead) {
        reject(clientDisconnectedError());
      }
    });
  });
}

function bodyTooLargeError(maxBytes: number): RouterError {
  return new RouterError(
    "body_too_large",
    `the body is larger than ${maxBytes} bytes`,
  );
}

function clientDisconnectedError(cause?: Error): RouterError {
  return new RouterError(
    "caller_cancelled",
    "the caller went away",
    { cause },
  );
}
