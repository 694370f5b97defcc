import { Buffer } from "node:buffer";
import * as net from "node:net";
import { listenOn, SystemClock } from "@limpetshed/base";
import { expect } from "chai";
import { afterEach, describe, it } from "mocha";
import { EndpointConnection } from "../src/endpoint_connection.ts";

interface Ending {
  kind: "end" | "error";
  body: string;
  socketError: Error | undefined;
}

const HEAD = "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n";

describe("the end of an answer without a length", () => {
  let server: net.Server | undefined;

  afterEach(() => server?.close());

  async function exchange(
    answer: (socket: net.Socket) => void,
  ): Promise<Ending> {
    server = net.createServer((socket) => {
      socket.on("error", () => undefined);
      socket.once("data", () => answer(socket));
    });
    const address = await listenOn(server, "127.0.0.1:0");
    const connection = new EndpointConnection({
      clock: new SystemClock(),
      address,
      connectTimeoutMs: 5_000,
      onClose: () => undefined,
    });
    const chunks: Buffer[] = [];
    return await new Promise((resolve) => {
      const finish = (kind: "end" | "error") =>
        resolve({
          kind,
          body: Buffer.concat(chunks).toString(),
          socketError: connection.socketError,
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

  it("is whole after an orderly close", async () => {
    const ending = await exchange((socket) => socket.end(`${HEAD}whole`));
    expect(ending).to.deep.equal({
      kind: "end",
      body: "whole",
      socketError: undefined,
    });
  });

  it("is not whole after a reset", async () => {
    const ending = await exchange((socket) => {
      socket.write(`${HEAD}half`, () => {
        setTimeout(() => socket.resetAndDestroy(), 50);
      });
    });
    expect(ending.kind === "error" || ending.socketError !== undefined).to
      .equal(
        true,
      );
  });

  it("is not whole after a reset right behind its bytes", async () => {
    const ending = await exchange((socket) => {
      socket.write(`${HEAD}half`);
      socket.resetAndDestroy();
    });
    expect(ending.kind === "error" || ending.socketError !== undefined).to
      .equal(
        true,
      );
  });
});
