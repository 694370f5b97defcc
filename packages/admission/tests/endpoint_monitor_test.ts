import * as net from "node:net";
import { listenOn, SystemClock } from "@limpetshed/base";
import { HttpEndpointClient } from "@limpetshed/endpoint";
import { Rng } from "@limpetshed/hashing";
import { Metrics } from "@limpetshed/observe";
import { expect } from "chai";
import { afterEach, describe, it } from "mocha";
import { EndpointMonitor } from "../src/endpoint_monitor.ts";

const TIMEOUT_MS = 300;

describe("EndpointMonitor", () => {
  let server: net.Server | undefined;

  afterEach(() => server?.close());

  it("reports an endpoint down whose load report never ends", async () => {
    server = net.createServer((socket) => {
      socket.on("error", () => undefined);
      const write = () => {
        while (!socket.destroyed && socket.write("x".repeat(16_384)));
      };
      socket.on("drain", write);
      socket.once("data", () => {
        socket.write("HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n");
        write();
      });
    });
    const client = new HttpEndpointClient({ metrics: new Metrics() });
    const monitor = new EndpointMonitor({
      clock: new SystemClock(),
      rng: new Rng(1),
      client,
      target: { id: "e", address: await listenOn(server, "127.0.0.1:0") },
      onProbed: () => undefined,
      timeoutMs: TIMEOUT_MS,
    });
    await monitor.probe();
    await monitor.probe();
    expect(monitor.health).to.equal("down");
    await monitor.close();
    await client.close();
  });
});
