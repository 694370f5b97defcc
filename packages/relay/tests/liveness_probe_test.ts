import * as net from "node:net";
import { listenOn, SystemClock } from "@limpetshed/base";
import { expect } from "chai";
import { afterEach, describe, it } from "mocha";
import { LivenessProbe } from "../src/liveness_probe.ts";

describe("LivenessProbe", () => {
  const probe = new LivenessProbe({
    clock: new SystemClock(),
    connectTimeoutMs: 50,
  });
  let server: net.Server;

  afterEach(() => server.close());

  it("tells a process that listens from one that is gone", async () => {
    let connections = 0;
    server = net.createServer(() => {
      connections += 1;
    });
    const address = await listenOn(server, "127.0.0.1:0");
    const results = await Promise.all([
      probe.isRefused(address),
      probe.isRefused(address),
    ]);
    expect(results).to.deep.equal([false, false]);
    expect(connections).to.equal(1);
    await new Promise((resolve) => server.close(resolve));
    expect(await probe.isRefused(address)).to.equal(true);
  });

  it("takes an endpoint that does not answer for a live one", async () => {
    // A full queue of new connections, as the system drops what exceeds it.
    server = net.createServer();
    await new Promise<void>((resolve) =>
      server.listen({ port: 0, host: "127.0.0.1", backlog: 1 }, resolve)
    );
    const { port } = server.address() as net.AddressInfo;
    const blocked = Array.from(
      { length: 4 },
      () => net.connect({ host: "127.0.0.1", port }),
    );
    blocked.forEach((socket) => socket.on("error", () => undefined));
    expect(await probe.isRefused(`127.0.0.1:${port}`)).to.equal(false);
    blocked.forEach((socket) => socket.destroy());
  });

  // The system of a process that had ended still took a connection.
  it("does not take a process for live that closes its port after it connected", async () => {
    server = net.createServer((socket) => {
      server.close();
      socket.destroy();
    });
    const address = await listenOn(server, "127.0.0.1:0");
    expect(await probe.isAlive(address)).to.equal(false);
  });

  it("takes a process for live that closes connections beyond its limit", async () => {
    server = net.createServer((socket) => socket.destroy());
    const address = await listenOn(server, "127.0.0.1:0");
    expect(await probe.isAlive(address)).to.equal(true);
  });

  for (
    const [elsewhere, isAlive] of [
      ["alive", true],
      ["refused", false],
      ["unknown", false],
      ["no_helper", false],
    ] as const
  ) {
    it(`asks other nodes about a port that it cannot reach: ${elsewhere}`, async () => {
      const asking = new LivenessProbe({
        clock: new SystemClock(),
        askElsewhere: () => Promise.resolve(elsewhere),
      });
      server = net.createServer();
      const address = await listenOn(server, "127.0.0.1:0");
      await new Promise((resolve) => server.close(resolve));
      expect(await asking.isAlive(address)).to.equal(isAlive);
    });
  }
});
