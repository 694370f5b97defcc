import { once } from "node:events";
import * as net from "node:net";
import process from "node:process";
import { expect } from "chai";
import { describe, it } from "mocha";
import { listenOn, splitHostPort } from "../src/listen_on.ts";
import { resetConnection } from "../src/reset_connection.ts";

describe("resetConnection", () => {
  // A test process did not exit after its last test: a reset during a shutdown
  // left a handle that Node.js waited for.
  it("closes a connection whose shutdown is in progress", async () => {
    const server = net.createServer({ allowHalfOpen: true });
    const errors: Error[] = [];
    const closed = new Promise<void>((resolve) => {
      server.once("connection", (socket) => {
        socket.on("error", (err) => errors.push(err));
        socket.once("close", () => resolve());
        socket.end("bye");
        process.nextTick(() => resetConnection(socket));
      });
    });
    const client = net.connect({
      ...splitHostPort(await listenOn(server, "127.0.0.1:0")),
      allowHalfOpen: true,
    });
    client.on("error", () => undefined).resume();
    await once(client, "connect");
    await closed;
    expect(errors).to.deep.equal([]);
    client.destroy();
    server.close();
  });
});
