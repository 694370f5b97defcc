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
});
