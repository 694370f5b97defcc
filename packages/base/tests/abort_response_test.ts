import * as http from "node:http";
import * as net from "node:net";
import { expect } from "chai";
import { afterEach, describe, it } from "mocha";
import { abortResponse } from "../src/abort_response.ts";
import { listenOn } from "../src/listen_on.ts";

describe("abortResponse", () => {
  let server: http.Server;

  afterEach(() => server.close());

  async function readAborted(version: "1.0" | "1.1") {
    server = http.createServer((_req, res) => {
      res.writeHead(200);
      res.write("half", () => setTimeout(() => abortResponse(res), 30));
    });
    const [host, port] = (await listenOn(server, "127.0.0.1:0")).split(":");
    const socket = net.connect({ host, port: Number(port) });
    socket.write(`GET / HTTP/${version}\r\nhost: a\r\n\r\n`);
    let text = "";
    let wasReset = false;
    socket.on("data", (chunk) => {
      text += chunk.toString();
    });
    socket.on("error", () => {
      wasReset = true;
    });
    await new Promise((resolve) => socket.once("close", resolve));
    return { text, wasReset };
  }

  // Half a response looked complete to clients that read until the connection
  // closes.
  it("resets the connection of a client with HTTP/1.0", async () => {
    expect((await readAborted("1.0")).wasReset).to.equal(true);
  });

  it("ends a chunked response without its last chunk", async () => {
    const { text } = await readAborted("1.1");
    expect(text).to.contain("half");
    expect(text).to.not.contain("\r\n0\r\n");
  });
});
