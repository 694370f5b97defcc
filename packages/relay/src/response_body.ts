import type { Buffer } from "node:buffer";
import type { IncomingHttpHeaders } from "node:http";
import type { ResponseHead } from "./endpoint_connection.ts";
import { SseBoundaryTracker } from "./sse_boundary_tracker.ts";

/** What tells the end of a response body: its length, also if there is none, its
 * last chunk, or the end of the connection. RFC 9112, section 6.3. */
export type BodyFraming = "length" | "chunked" | "close";

const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);
const EVENT_STREAM_TYPE = "text/event-stream";

/** Whether a response with these headers is a stream of events. */
export function isEventStream(headers: IncomingHttpHeaders): boolean {
  return headers["content-type"]?.toLowerCase()
    .startsWith(EVENT_STREAM_TYPE) === true;
}

/** Follows the body of an endpoint's response without buffering it. */
export class ResponseBody {
  readonly framing: BodyFraming;
  readonly #events: SseBoundaryTracker | undefined;
  #receivedBytes = 0;

  /** `method` is that of the request. */
  constructor({ status, headers }: ResponseHead, method: string) {
    const hasNoBody = method === "HEAD" || BODILESS_STATUSES.has(status);
    this.framing = headers["transfer-encoding"] !== undefined
      ? "chunked"
      : hasNoBody || headers["content-length"] !== undefined
      ? "length"
      : "close";
    if (isEventStream(headers)) {
      this.#events = new SseBoundaryTracker();
    }
  }

  /** Whether the body is a stream of events. */
  get isEventStream(): boolean {
    return this.#events !== undefined;
  }

  /** Bytes received from the endpoint. */
  get receivedBytes(): number {
    return this.#receivedBytes;
  }

  /** Bytes received since the end of the last complete event of a stream;
   * undefined if the body is not a stream of events. */
  get openEventBytes(): number | undefined {
    return this.#events?.openEventBytes;
  }

  /** Whether an event was complete. */
  get hasEvents(): boolean {
    return this.#events?.hasEvents === true;
  }

  /** Whether a stream has ended inside an event, which says that it has been
   * broken off, also after an orderly end of the connection or framing. */
  get isTruncated(): boolean {
    return this.#events?.isInsideEvent === true;
  }

  /** Takes note of received bytes. */
  push(chunk: Buffer): void {
    this.#receivedBytes += chunk.length;
    this.#events?.push(chunk);
  }
}
