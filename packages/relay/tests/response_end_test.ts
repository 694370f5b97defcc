import { Buffer } from "node:buffer";
import * as net from "node:net";
import { listenOn, SystemClock } from "@limpetshed/base";
import { expect } from "chai";
import { afterEach, describe, it } from "mocha";
import { DirectConnector } from "../src/direct_connector.ts";
import { EndpointConnection } from "../src/endpoint_connection.ts";

interface ResponseEnd {
  kind: "end" | "error";
  body: string;
}

const RESPONSE_HEAD = "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n";

describe("EndpointConnection given a response delimited by connection close", () => {
  let server: net.Server | undefined;

  afterEach(() => server?.close());

  async function exchange(
    respond: (socket: net.Socket) => void,
  ): Promise<ResponseEnd> {
    server = net.createServer((socket) => {
      socket.on("error", () => undefined);
      socket.once("data", () => respond(socket));
    });
    const address = await listenOn(server, "127.0.0.1:0");
    const clock = new SystemClock();
    const connection = new EndpointConnection({
      clock,
      address,
      connector: new DirectConnector({ clock }),
      connectTimeoutMs: 5_000,
      onClose: () => undefined,
    });
    const chunks: Buffer[] = [];
    return await new Promise((resolve) => {
      const finish = (kind: "end" | "error") =>
        resolve({
          kind,
          body: Buffer.concat(chunks).toString(),
        });
      connection.exchange(
        { method: "GET", path: "/", headers: ["host", "a"], body: null },
        {
          onSend: () => undefined,
          onHead: () => undefined,
          onData: (chunk) => chunks.push(chunk),
          onEnd: () => finish("end"),
          onError: () => finish("error"),
        },
      );
    });
  }

  it("reports a complete response after an orderly close", async () => {
    const end = await exchange((socket) => socket.end(`${RESPONSE_HEAD}whole`));
    expect(end).to.deep.equal({
      kind: "end",
      body: "whole",
    });
  });

  it("reports an error after a reset", async () => {
    const end = await exchange((socket) => {
      socket.write(`${RESPONSE_HEAD}half`, () => {
        setTimeout(() => socket.resetAndDestroy(), 50);
      });
    });
    expect(end.kind).to.equal("error");
  });

  it("reports an error after a reset directly following the data", async () => {
    const end = await exchange((socket) => {
      socket.write(`${RESPONSE_HEAD}half`);
      socket.resetAndDestroy();
    });
    expect(end.kind).to.equal("error");
  });
});
