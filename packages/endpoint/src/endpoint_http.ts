import { Buffer } from "node:buffer";
import { Readable } from "node:stream";
import { EventSourceParserStream } from "eventsource-parser/stream";
import { HOP_BY_HOP_HEADERS } from "@limpetshed/base";
import type { Dispatcher } from "undici";
import type { ChatCall, StreamEvent } from "./endpoint_client.ts";
import { EndpointError } from "./endpoint_error.ts";
import type { SendState } from "./track_send.ts";

/** Request and response header that matches a response to its request. */
export const REQUEST_ID_HEADER = "x-request-id";
/** Request header with the scheduling priority. */
export const PRIORITY_HEADER = "x-limpetshed-priority";
/** Request header with the chat key, hexadecimal. */
export const CHAT_KEY_HEADER = "x-limpetshed-chat";
/** Response header by which an endpoint states that it did not execute a
 * request. */
export const NOT_RUN_HEADER = "x-not-run";

const MAX_RESPONSE_BYTES = 16 * 1_048_576;
/** Longest server-sent event, in characters; far above what a few tokens take. */
const MAX_EVENT_CHARS = 262_144;
/** Limits on reading a body that is not used, which makes its connection usable
 * again: closing it is cheaper beyond them. */
const MAX_DISCARDED_BYTES = 65_536;
const MAX_DISCARD_MS = 1_000;

/** An HTTP request to an endpoint. */
export interface EndpointRequest {
  method: Dispatcher.HttpMethod;
  path: string;
  headers?: Record<string, string>;
  body?: Readable | string | null;
}

/** Builds the request for a chat completion. */
export function chatRequest(call: ChatCall): EndpointRequest {
  return {
    method: "POST",
    path: "/v1/chat/completions",
    headers: {
      "content-type": "application/json",
      [REQUEST_ID_HEADER]: call.requestId,
      [PRIORITY_HEADER]: call.priority,
      [CHAT_KEY_HEADER]: call.chatKey,
    },
    body: call.body,
  };
}

/** Builds a POST request with a JSON body. */
export function jsonRequest(path: string, data: unknown): EndpointRequest {
  return {
    method: "POST",
    path,
    headers: { "content-type": "application/json" },
    body: JSON.stringify(data),
  };
}

/** Parses server-sent events; skips those without an integer id. */
export async function* parseServerSentEvents(
  body: Readable,
): AsyncIterable<StreamEvent> {
  const events = Readable.toWeb(body)
    .pipeThrough(new TextDecoderStream())
    .pipeThrough(
      new EventSourceParserStream({ maxBufferSize: MAX_EVENT_CHARS }),
    );
  try {
    for await (const event of events) {
      const sequence = Number(event.id);
      if (event.id !== undefined && Number.isSafeInteger(sequence)) {
        yield { sequence, data: event.data };
      }
    }
  } finally {
    discard(body);
  }
}

/** Reads a body that is not used to its end, so that its connection can be reused;
 * closes the connection if the body is long or slow. */
export async function drain(body: Dispatcher.ResponseData["body"]) {
  const signal = AbortSignal.timeout(MAX_DISCARD_MS);
  await body.dump({ limit: MAX_DISCARDED_BYTES, signal }).catch(() =>
    discard(body)
  );
}

/** Discards the rest of a body and ignores its errors. */
function discard(body: Readable): void {
  body.on("error", () => undefined);
  body.destroy();
}

/** Reads a body as text, up to {@linkcode MAX_RESPONSE_BYTES}. */
export async function readText(body: Readable): Promise<string> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of body) {
    bytes += (chunk as Buffer).length;
    if (bytes > MAX_RESPONSE_BYTES) {
      discard(body);
      throw new EndpointError("endpoint_failed", "the answer is too large", {
        connectionLost: true,
      });
    }
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks).toString("utf8");
}

/** Parses a JSON response; throws unless the status is 200. */
export async function readJson<T>(res: Dispatcher.ResponseData): Promise<T> {
  const text = await readText(res.body);
  if (res.statusCode !== 200) {
    throw statusError(res.statusCode, text);
  }
  try {
    return JSON.parse(text) as T;
  } catch (err) {
    throw new EndpointError("endpoint_failed", "the answer is not JSON", {
      cause: err,
    });
  }
}

/** Throws if the response belongs to another request. */
export function checkRequestId(
  res: Dispatcher.ResponseData,
  expected: string,
): void {
  const actual = res.headers[REQUEST_ID_HEADER];
  if (actual !== expected) {
    discard(res.body);
    throw new EndpointError(
      "endpoint_failed",
      "the endpoint answered another request",
    );
  }
}

/** Maps a failed request to an error. The run state is `not-run` only if no part
 * of the request was written. */
export function sendError(
  err: unknown,
  state: SendState,
  signal: AbortSignal,
): EndpointError {
  if (!state.writeStarted) {
    return new EndpointError(
      "endpoint_unreachable",
      "the endpoint could not be reached",
      { cause: err },
    );
  }
  return new EndpointError(
    "endpoint_failed",
    "the endpoint did not answer",
    { cause: err, connectionLost: !signal.aborted },
  );
}

/** Error for a response body that was interrupted. */
export function brokenResponseError(err: unknown): EndpointError {
  return err instanceof EndpointError ? err : new EndpointError(
    "endpoint_failed",
    "the answer broke off",
    { cause: err, connectionLost: true },
  );
}

/** Error for a response with an unsuccessful status. */
export function statusError(status: number, text: string): EndpointError {
  if (status >= 400 && status < 500 && status !== 408 && status !== 429) {
    return new EndpointError(
      "invalid_request",
      `the endpoint refused the request with status ${status}`,
      { faults: [text.slice(0, 500)] },
    );
  }
  return new EndpointError(
    "endpoint_failed",
    `the endpoint answered with status ${status}`,
    { cause: new Error(text.slice(0, 200)) },
  );
}

/** Copies `headers` without hop-by-hop headers. */
export function removeHopByHopHeaders(
  headers: Record<string, string | string[] | undefined>,
): Record<string, string | string[]> {
  const kept: Record<string, string | string[]> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (
      value !== undefined && !HOP_BY_HOP_HEADERS.includes(name.toLowerCase())
    ) {
      kept[name] = value;
    }
  }
  return kept;
}
