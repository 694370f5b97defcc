import type { IncomingHttpHeaders } from "node:http";
import {
  type AnswerFacts,
  type CallFacts,
  type SendFacts,
  WireFormat,
} from "../src/wire_format.ts";

/** Headers of the tests' callers and endpoints. */
export class TestWireFormat extends WireFormat {
  readCall(headers: IncomingHttpHeaders): CallFacts {
    const patience = headers["x-left"];
    return {
      requestId: text(headers["x-id"]),
      patienceMs: patience === undefined ? undefined : Number(patience),
      key: text(headers.authorization),
      prompt: undefined,
    };
  }

  isReserved(name: string): boolean {
    return ["authorization", "x-left", "x-endpoint", "x-account"]
      .includes(name);
  }

  isReplaced(name: string, { lastEventId }: SendFacts): boolean {
    return name === "last-event-id" && lastEventId !== undefined;
  }

  sendHeaders(send: SendFacts): string[] {
    return [
      "x-left",
      String(send.timeLeftMs),
      "x-endpoint",
      send.endpointId,
      "x-account",
      send.account ?? "",
      ...(send.lastEventId === undefined
        ? []
        : ["last-event-id", send.lastEventId]),
    ];
  }

  readAnswer(status: number, headers: IncomingHttpHeaders): AnswerFacts {
    return {
      requestId: text(headers["x-id"]),
      isSigned: headers["x-signed"] !== undefined,
      isNotRun: headers["x-not-run"] !== undefined,
      isMisdirected: status === 421,
      inFlight: undefined,
    };
  }
}

function text(value: string | string[] | undefined): string | undefined {
  return Array.isArray(value) ? value[0] : value;
}
