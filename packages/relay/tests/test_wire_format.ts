import type { IncomingHttpHeaders } from "node:http";
import type { Brittleness, NamedLimit, PromptInfo } from "@limpetshed/dispatch";
import { parseRetryAfter } from "../src/parse_retry_after.ts";
import {
  type RequestMetadata,
  type ResponseMetadata,
  type SendMetadata,
  WireFormat,
} from "../src/wire_format.ts";

/** Header names used by the clients and endpoints of the tests. */
export class TestWireFormat extends WireFormat {
  parseRequest(headers: IncomingHttpHeaders): RequestMetadata {
    const timeout = headers["x-left"];
    return {
      requestId: singleValue(headers["x-id"]),
      clientTimeoutMs: timeout === undefined ? undefined : Number(timeout),
      apiKey: singleValue(headers.authorization),
      prompt: parsePrompt(singleValue(headers["x-parts"])),
      lastEventId: singleValue(headers["last-event-id"]),
      resumedRequestId: singleValue(headers["x-resumes"]),
    };
  }

  isReserved(name: string): boolean {
    return ["authorization", "x-left", "x-endpoint", "x-account"]
      .includes(name);
  }

  isReplaced(name: string, { lastEventId }: SendMetadata): boolean {
    return name === "last-event-id" && lastEventId !== undefined;
  }

  requestHeaders(metadata: SendMetadata): string[] {
    return [
      "x-left",
      String(metadata.timeLeftMs),
      "x-endpoint",
      metadata.endpointId,
      "x-account",
      metadata.account ?? "",
      ...(metadata.lastEventId === undefined
        ? []
        : ["last-event-id", metadata.lastEventId]),
    ];
  }

  isForNodes(name: string): boolean {
    return name === "x-limit" || name === "x-leaving";
  }

  parseResponse(
    status: number,
    headers: IncomingHttpHeaders,
  ): ResponseMetadata {
    return {
      requestId: singleValue(headers["x-id"]),
      isSigned: headers["x-signed"] !== undefined,
      isNotRun: headers["x-not-run"] !== undefined,
      isMisdirected: status === 421,
      load: undefined,
      limit: parseLimit(singleValue(headers["x-limit"])),
      brittleness: parseBrittleness(singleValue(headers["x-brittle"])),
      isLeaving: headers["x-leaving"] === "1",
      rest: parseRetryAfter(headers["retry-after"], headers),
    };
  }
}

/** Parses comma-separated ids of prompt parts. */
function parsePrompt(ids: string | undefined): PromptInfo | undefined {
  return ids === undefined ? undefined : {
    model: "m",
    promptTokens: 0,
    maxOutputTokens: 0,
    parts: ids.split(",").map((id) => ({ id, tokens: 0 })),
  };
}

function parseLimit(value: string | undefined): NamedLimit {
  return value === undefined
    ? { state: "none" }
    : { state: "named", requestsPerS: Number(value) };
}

function parseBrittleness(value: string | undefined): Brittleness {
  return value === undefined
    ? { state: "none" }
    : { state: "named", rejectionsPerS: Number(value) };
}

function singleValue(value: string | string[] | undefined): string | undefined {
  return Array.isArray(value) ? value[0] : value;
}
