import { Buffer } from "node:buffer";
import * as http from "node:http";
import * as net from "node:net";
import { listenOn } from "@limpetshed/base";
import { expect } from "chai";
import { afterEach, describe, it } from "mocha";
import { ResponseWriter } from "../src/response_writer.ts";

/** More than the system buffers for a connection that is not read. */
const BODY = Buffer.alloc(32 * 1_024 * 1_024, "x");
const PAUSE_MS = 100;

describe("ResponseWriter", () => {
  let server: http.Server;

  afterEach(() => server.closeAllConnections());

  // A node that stopped closed the connection before the response was out.
  it("keeps the connection open until a slow client has the response", async () => {
    server = http.createServer((_req, res) => {
      const writer = new ResponseWriter({ res, isStopping: () => true });
      writer.sendHead(200, []);
      writer.write(BODY);
      writer.end();
      server.close();
      setTimeout(() => server.closeIdleConnections(), PAUSE_MS);
    });
    const [host, port] = (await listenOn(server, "127.0.0.1:0")).split(":");
    const socket = net.connect({ host, port: Number(port) });
    socket.pause();
    socket.write("GET / HTTP/1.0\r\n\r\n");
    setTimeout(() => socket.resume(), 2 * PAUSE_MS);
    let received = 0;
    socket.on("data", (chunk: Buffer) => {
      received += chunk.length;
    });
    await new Promise((resolve) => socket.once("close", resolve));
    expect(received).to.be.above(BODY.length);
  });
});
