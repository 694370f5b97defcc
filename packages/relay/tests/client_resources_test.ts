import { Buffer } from "node:buffer";
import { once } from "node:events";
import type { IncomingMessage } from "node:http";
import { expect } from "chai";
import { afterEach, beforeEach, describe, it } from "mocha";
import { RelayFixture } from "./relay_fixture.ts";

const POLL_INTERVAL_MS = 10;
/** Longer than a claim may stand still before it gives way. */
const STALLED_MS = 400;
const LARGE_RESPONSE_BYTES = 32 * 1_048_576;

async function until(condition: () => boolean): Promise<void> {
  while (!condition()) {
    await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS));
  }
}

describe("what a node holds for a client", () => {
  let fixture: RelayFixture;

  beforeEach(() => {
    fixture = new RelayFixture();
  });

  afterEach(() => fixture.close());

  const heldBytes = () => fixture.node.clientResources.memory.heldBytes;

  it("is charged for a body until its request ends", async () => {
    let respond = () => {};
    await fixture.start((request, res) => {
      respond = () =>
        void res.writeHead(200, { "x-id": request.id, "x-signed": "1" }).end();
    });
    const sent = fixture.send("/unsafe/", { body: "a".repeat(30_000) });
    await until(() => fixture.endpoints[0]!.requests.length > 0);
    expect(heldBytes()).to.be.within(30_000, 60_000);
    respond();
    expect((await sent).status).to.equal(200);
    expect(heldBytes()).to.equal(0);
  });

  it("refuses a body that does not move, as not run", async () => {
    await fixture.start();
    fixture.configure(2, 5_000, { idleTimeoutMs: 100 });
    const response = await fixture.sendRaw(
      "POST /unsafe/ HTTP/1.1\r\nhost: 127.0.0.1\r\nauthorization: k\r\n" +
        "x-id: r1\r\ncontent-length: 5\r\n\r\nhell",
    );
    expect(response).to.match(/^HTTP\/1.1 408 /)
      .and.include('"run":"not-run"');
    expect(heldBytes()).to.equal(0);
  });

  for (const way of ["reads it", "is cut off for others"] as const) {
    it(`is charged for an unread response until the client ${way}`, async () => {
      await fixture.start((request, res) => {
        res.writeHead(200, { "x-id": request.id, "x-signed": "1" })
          .end(Buffer.alloc(LARGE_RESPONSE_BYTES));
      });
      const { memory } = fixture.node.clientResources;
      const req = fixture.open("/unsafe/").end("hello");
      const [res] = await once(req, "response") as [IncomingMessage];
      res.on("error", () => undefined);
      const ended = new Promise((resolve) => res.once("close", resolve));
      await until(() => heldBytes() > 0);
      if (way === "is cut off for others") {
        await new Promise((resolve) => setTimeout(resolve, STALLED_MS));
        const claim = memory.open();
        claim.charge(memory.capacityBytes);
        claim.close();
        expect(memory.evictionCount).to.equal(1);
      }
      res.resume();
      await ended;
      expect(res.complete).to.equal(way === "reads it");
      await until(() => heldBytes() === 0);
    });
  }
});
