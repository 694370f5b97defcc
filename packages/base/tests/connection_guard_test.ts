import { Buffer } from "node:buffer";
import { subscribe, unsubscribe } from "node:diagnostics_channel";
import * as net from "node:net";
import { expect } from "chai";
import { afterEach, describe, it } from "mocha";
import type { Dispatcher } from "undici";
import { createGuardedClient } from "../src/create_guarded_client.ts";
import { listenOn } from "../src/listen_on.ts";

const SETTLE_MS = 50;
const BODY = "part";
const FRAMINGS = {
  "without a length": `HTTP/1.1 200 OK\r\n\r\n${BODY}`,
  "with a length and close":
    `HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 9\r\n\r\n${BODY}`,
  "in chunks and close":
    `HTTP/1.1 200 OK\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n4\r\n${BODY}\r\n`,
};

describe("ConnectionGuard", () => {
  let server: net.Server;
  let client: Dispatcher;

  afterEach(async () => {
    server.close();
    await client.destroy();
  });

  /** Sends a request that is answered with `bytes`, lets `interrupt` act, and
   * resolves to the last event of the response. */
  async function exchange(
    bytes: string,
    { isPaused, interrupt }: {
      isPaused: boolean;
      interrupt: (ends: { server: net.Socket; client: net.Socket }) => void;
    },
  ): Promise<"end" | "error"> {
    let controller: Dispatcher.DispatchController | undefined;
    const clientSockets: net.Socket[] = [];
    server = net.createServer((socket) => {
      socket.on("error", () => undefined);
      socket.once("data", () => {
        socket.write(bytes);
        setTimeout(() => {
          interrupt({ server: socket, client: clientSockets[0]! });
          // The end of the connection may wait behind bytes that are not parsed.
          setTimeout(() => controller?.resume(), SETTLE_MS);
        }, SETTLE_MS);
      });
    });
    client = createGuardedClient(
      `http://${await listenOn(server, "127.0.0.1:0")}`,
    );
    const onSocket = (message: unknown) =>
      clientSockets.push((message as { socket: net.Socket }).socket);
    subscribe("net.client.socket", onSocket);
    try {
      return await new Promise((resolve) => {
        client.dispatch({ method: "GET", path: "/" }, {
          onRequestStart: (started) => {
            controller = started;
          },
          onResponseStart: () => undefined,
          onResponseData: (_controller, chunk) => {
            expect(Buffer.from(chunk).toString()).to.equal(BODY);
            if (isPaused) {
              controller!.pause();
            }
          },
          onResponseEnd: () => resolve("end"),
          onResponseError: () => resolve("error"),
        });
      });
    } finally {
      unsubscribe("net.client.socket", onSocket);
    }
  }

  // A reset that met a paused response ended the process; one that met a response
  // without a length looked like its end.
  for (const [framing, bytes] of Object.entries(FRAMINGS)) {
    for (const isPaused of [false, true]) {
      const state = `${framing}, ${isPaused ? "paused" : "flowing"}`;

      it(`fails a response after a reset: ${state}`, async () => {
        const interrupt = (ends: { server: net.Socket }) =>
          ends.server.resetAndDestroy();
        expect(await exchange(bytes, { isPaused, interrupt }))
          .to.equal("error");
      });

      it(`fails a response whose connection this process closes: ${state}`, async () => {
        const interrupt = (ends: { client: net.Socket }) =>
          ends.client.destroy();
        expect(await exchange(bytes, { isPaused, interrupt }))
          .to.equal("error");
      });

      it(`ends a response without a length, and no other, at the end of its connection: ${state}`, async () => {
        const interrupt = (ends: { server: net.Socket }) => ends.server.end();
        expect(await exchange(bytes, { isPaused, interrupt }))
          .to.equal(framing === "without a length" ? "end" : "error");
      });
    }
  }
});
