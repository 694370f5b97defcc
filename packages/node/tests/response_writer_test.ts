import * as http from "node:http";
import * as net from "node:net";
import { Readable } from "node:stream";
import { listenOn } from "@limpetshed/base";
import { RouterError } from "@limpetshed/errors";
import { expect } from "chai";
import { afterEach, describe, it } from "mocha";
import { writeBody } from "../src/response_writer.ts";

const SETTLE_MS = 30;

async function* bodyThatBreaksOff() {
  yield "half";
  await new Promise((resolve) => setTimeout(resolve, SETTLE_MS));
  throw new Error("connection reset by the endpoint");
}

describe("writeBody", () => {
  let server: http.Server;

  afterEach(() => server.close());

  async function read(body: () => Readable) {
    let err: unknown;
    server = http.createServer((_req, res) => {
      res.writeHead(200);
      writeBody(res, body()).catch((thrown: unknown) => {
        err = thrown;
      });
    });
    const [host, port] = (await listenOn(server, "127.0.0.1:0")).split(":");
    const socket = net.connect({ host, port: Number(port) });
    socket.write("GET / HTTP/1.0\r\n\r\n");
    let text = "";
    let wasReset = false;
    socket.on("data", (chunk) => {
      text += chunk.toString();
    });
    socket.on("error", () => {
      wasReset = true;
    });
    await new Promise((resolve) => socket.once("close", resolve));
    return { text, wasReset, err };
  }

  // A caller with HTTP/1.0 took half a response for a whole one.
  it("resets the connection when the body breaks off", async () => {
    const { wasReset, err } = await read(() =>
      Readable.from(bodyThatBreaksOff())
    );
    expect(wasReset).to.equal(true);
    expect(err).to.be.instanceOf(RouterError).with.property(
      "kind",
      "answer_incomplete",
    );
  });

  it("closes the connection after a whole body", async () => {
    const { text, wasReset, err } = await read(() => Readable.from(["whole"]));
    expect(text).to.match(/whole$/);
    expect([wasReset, err]).to.deep.equal([false, undefined]);
  });
});
