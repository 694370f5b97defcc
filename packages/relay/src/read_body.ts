import type { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";
import type { Clock } from "@limpetshed/base";
import { RouterError } from "@limpetshed/errors";
import { BodyBlocks } from "./body_blocks.ts";
import type { ClientResources } from "./client_resources.ts";
import type { MemoryClaim } from "./memory_budget.ts";

/** Options of {@linkcode readBody}. */
export interface ReadBodyOptions {
  clock: Clock;
  maxBytes: number;
  /** Time without a byte after which the body is given up, milliseconds; at most
   * twice that passes. */
  stallMs: number;
  resources: Pick<
    ClientResources,
    "memory" | "blocks" | "reads" | "smallChunks"
  >;
  /** Charged for the body; its owner closes it once the body is not needed. */
  claim: MemoryClaim;
}

/** `retry-after` of a refusal for lack of memory. */
const RETRY_AFTER_MS = 500;

/**
 * Buffers the complete request body, so that the request can be retried.
 * Resolves to null if the request has no body. After a failure, what still
 * arrives of the body is dropped.
 *
 * @throws RouterError `body_too_large`, `memory_full`, `small_chunks`,
 *   `body_stalled`, or `caller_cancelled` when the client disconnects before the
 *   end of the body.
 */
export function readBody(
  req: IncomingMessage,
  options: ReadBodyOptions,
): Promise<Buffer | null> {
  const { maxBytes, resources } = options;
  const contentLength = Number(req.headers["content-length"] ?? 0);
  if (contentLength > maxBytes) {
    return Promise.reject(bodyTooLargeError(maxBytes));
  }
  const hasTransferEncoding = req.headers["transfer-encoding"] !== undefined;
  if (contentLength === 0 && !hasTransferEncoding) {
    return Promise.resolve(null);
  }
  if (!resources.memory.hasRoomFor(contentLength)) {
    return Promise.reject(memoryFullError());
  }
  return collectBody(req, options);
}

function collectBody(
  req: IncomingMessage,
  { clock, maxBytes, stallMs, resources, claim }: ReadBodyOptions,
): Promise<Buffer> {
  return new Promise((resolve, reject) => {
    const counter = resources.smallChunks.open();
    const blocks = new BodyBlocks({
      pool: resources.blocks,
      reserve: (bytes) => claim.grow(bytes),
    });
    let isOpen = true;
    let hasMoved = true;
    const close = () => {
      isOpen = false;
      counter.close();
      claim.onEvict(undefined);
      timer.cancel();
    };
    const fail = (err: RouterError) => {
      close();
      blocks.clear();
      claim.close();
      reject(err);
    };
    const checkProgress = () => {
      if (!hasMoved) {
        fail(bodyStalledError());
        return;
      }
      hasMoved = false;
      timer = clock.setTimer(stallMs, checkProgress);
    };
    let timer = clock.setTimer(stallMs, checkProgress);
    claim.onEvict(() => fail(memoryFullError()));
    req.on("data", (chunk: Buffer) => {
      resources.reads.add(chunk.length);
      if (!isOpen) {
        return;
      }
      hasMoved = true;
      const bytes = blocks.length + chunk.length;
      if (bytes > maxBytes) {
        fail(bodyTooLargeError(maxBytes));
      } else if (!counter.add(bytes)) {
        fail(smallChunksError());
      } else if (!blocks.append(chunk)) {
        fail(memoryFullError());
      }
    });
    req.once("end", () => {
      if (isOpen) {
        close();
        resolve(blocks.take());
      }
    });
    req.once("error", (err) => {
      if (isOpen) {
        fail(clientDisconnectedError(err));
      }
    });
    req.once("close", () => {
      // Each request closes; an error takes longer to make than the rest of this.
      if (isOpen) {
        fail(clientDisconnectedError());
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

function memoryFullError(): RouterError {
  return new RouterError("memory_full", "no memory is left for the body", {
    retryAfterMs: RETRY_AFTER_MS,
  });
}

function smallChunksError(): RouterError {
  return new RouterError(
    "small_chunks",
    "too many bodies come in small chunks",
    { retryAfterMs: RETRY_AFTER_MS },
  );
}

function bodyStalledError(): RouterError {
  return new RouterError("body_stalled", "the rest of the body did not come");
}

function clientDisconnectedError(cause?: Error): RouterError {
  return new RouterError(
    "caller_cancelled",
    "the caller went away",
    { cause },
  );
}
