import type { IncomingHttpHeaders } from "node:http";
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
      prompt: undefined,
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

  parseResponse(
    status: number,
    headers: IncomingHttpHeaders,
  ): ResponseMetadata {
    return {
      requestId: singleValue(headers["x-id"]),
      isSigned: headers["x-signed"] !== undefined,
      isNotRun: headers["x-not-run"] !== undefined,
      isMisdirected: status === 421,
      inFlight: undefined,
    };
  }
}

function singleValue(value: string | string[] | undefined): string | undefined {
  return Array.isArray(value) ? value[0] : value;
}
