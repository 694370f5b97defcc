import { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";
import { RouterError } from "@limpetshed/errors";

/**
 * Reads a request's body whole, so that it can be sent to another endpoint.
 *
 * @throws RouterError `body_too_large`, or `caller_cancelled` when the caller
 *   went away before its end.
 */
export function readBody(
  req: IncomingMessage,
  { maxBytes }: { maxBytes: number },
): Promise<Buffer | null> {
  const declared = Number(req.headers["content-length"] ?? 0);
  if (declared > maxBytes) {
    return Promise.reject(tooLarge(maxBytes));
  }
  const isFramed = req.headers["transfer-encoding"] !== undefined;
  if (declared === 0 && !isFramed) {
    return Promise.resolve(null);
  }
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    req.on("data", (chunk: Buffer) => {
      bytes += chunk.length;
      if (bytes > maxBytes) {
        req.pause();
        reject(tooLarge(maxBytes));
        return;
      }
      chunks.push(chunk);
    });
    req.once("end", () => resolve(Buffer.concat(chunks)));
    req.once("error", (err) => reject(gone(err)));
    req.once("close", () => reject(gone()));
  });
}

function tooLarge(maxBytes: number): RouterError {
  return new RouterError(
    "body_too_large",
    `the body is larger than ${maxBytes} bytes`,
  );
}

function gone(cause?: Error): RouterError {
  return new RouterError("caller_cancelled", "the caller went away", { cause });
}
