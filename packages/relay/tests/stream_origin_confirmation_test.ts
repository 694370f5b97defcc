import { streamKey } from "@limpetshed/dispatch";
import { expect } from "chai";
import { afterEach, beforeEach, describe, it } from "mocha";
import { RelayFixture, type RequestHandler } from "./relay_fixture.ts";

const RESUME = { headers: { "x-resumes": "r1", "last-event-id": "1" } };

const event = (id: number) => `id: ${id}\ndata: ${id}\n\n`;

/** Answers with a stream of two events; breaks it off after the first one if it is
 * not resumed and `breaksOff`. */
function stream({ breaksOff }: { breaksOff: boolean }): RequestHandler {
  return (request, res, socket) => {
    const isResumed = request.headers["last-event-id"] !== undefined;
    res.writeHead(200, {
      "content-type": "text/event-stream",
      "x-id": request.id,
      "x-signed": "1",
    });
    if (isResumed) {
      res.end(event(2));
    } else if (breaksOff) {
      res.write(event(1), () => socket.resetAndDestroy());
    } else {
      res.end(event(1) + event(2));
    }
  };
}

// In a large fleet nearly each stream begins on a connection that is newer than the
// node's view, and each of these read the store.
describe("a stream on a connection newer than the node's view", () => {
  let fixture: RelayFixture;
  let confirmations: number;

  beforeEach(() => {
    fixture = new RelayFixture({ followsSources: true });
    confirmations = 0;
    fixture.viewConfirmedMs = performance.now();
    fixture.confirmView = () => {
      confirmations += 1;
      fixture.viewConfirmedMs = performance.now();
      return Promise.resolve(true);
    };
  });

  afterEach(() => fixture.close());

  async function start(
    { breaksOff, versions }: { breaksOff: boolean; versions: string[] },
  ): Promise<void> {
    await fixture.start(...versions.map(() => stream({ breaksOff })));
    versions.forEach((softwareVersion, index) => {
      const { entry } = fixture.node.registry.get(`e${index + 1}`)!;
      fixture.node.registry.put({ ...entry, softwareVersion });
    });
  }

  it("asks nothing of the store while the service has one version", async () => {
    await start({ breaksOff: false, versions: ["v1", "v1"] });
    const { isComplete } = await fixture.send("/resume/", { id: "r1" });
    expect(isComplete).to.equal(true);
    expect(confirmations).to.equal(0);
    expect(fixture.confirmationWaiters.size).to.equal(0);
  });

  it("asks the store before it goes on elsewhere", async () => {
    await start({ breaksOff: true, versions: ["v1", "v1"] });
    const { isComplete } = await fixture.send("/resume/", { id: "r1" });
    expect(isComplete).to.equal(true);
    expect(confirmations).to.be.at.least(1);
  });

  it("asks the store at once while the service has several versions", async () => {
    await start({ breaksOff: false, versions: ["v1", "v2"] });
    await fixture.send("/resume/", { id: "r1" });
    expect(confirmations).to.equal(1);
  });

  it("is recorded once the view is confirmed", async () => {
    let finish = () => {};
    let markBegun = () => {};
    const hasBegun = new Promise<void>((resolve) => {
      markBegun = resolve;
    });
    await fixture.start((request, res) => {
      res.writeHead(200, {
        "content-type": "text/event-stream",
        "x-id": request.id,
        "x-signed": "1",
      });
      res.write(event(1), () => markBegun());
      finish = () => res.end(event(2));
    });
    const response = fixture.send("/resume/", { id: "r1" });
    await hasBegun;
    const { streamOrigins } = fixture.node;
    const find = () => streamOrigins.find(streamKey("acme", "r1"));
    expect(find()).to.equal(undefined);
    fixture.viewConfirmedMs = performance.now();
    fixture.confirmationWaiters.forEach((fn) => fn());
    await new Promise(setImmediate);
    expect(find()?.service).to.equal("s");
    finish();
    await response;
    expect(confirmations).to.equal(0);
  });

  it("goes on at the request of its client after it was broken off", async () => {
    await start({ breaksOff: true, versions: ["v1"] });
    await fixture.send("/resume/", { id: "r1" });
    const { status } = await fixture.send("/resume/", RESUME);
    expect(status).to.equal(200);
  });
});
