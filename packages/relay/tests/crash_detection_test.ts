import type * as net from "node:net";
import { sleep, SystemClock } from "@limpetshed/base";
import { expect } from "chai";
import { afterEach, beforeEach, describe, it } from "mocha";
import { RelayFixture, type RequestHandler, respond } from "./relay_fixture.ts";

const ENDPOINT_COUNT = 4;
const BAD_BODY = "bad";
const NOT_RUN_STATUS = 503;
/** Time for the node to notice the end of a connection. */
const SETTLE_MS = 30;

/** Lets an endpoint crash while it runs a request. */
type CrashFn = (index: number, socket: net.Socket) => void;

// Crashes were counted only if the endpoint was in the registry, had been the one to
// end the connection and refused a new one: of others, each repeat ended one more.
describe("a request that crashes each endpoint that runs it", () => {
  const clock = new SystemClock();
  let fixture: RelayFixture;
  let bad: number;

  beforeEach(() => {
    fixture = new RelayFixture();
    bad = 0;
  });

  afterEach(() => fixture.close());

  /** Starts endpoints that `crash` ends when they run the bad request. */
  async function start(crash: CrashFn): Promise<void> {
    const makeHandler =
      (index: number): RequestHandler => (req, res, socket) => {
        if (req.body === BAD_BODY) {
          bad += 1;
          crash(index, socket);
        } else {
          respond(req, res, socket);
        }
      };
    await fixture.start(
      ...Array.from({ length: ENDPOINT_COUNT }, (_, i) => makeHandler(i)),
    );
  }

  /** Registers an endpoint at the address of the one with this index. */
  function register(index: number, id: string, startedMs: number): void {
    const { address } = fixture.node.registry.get(`e${index + 1}`)!.entry;
    fixture.node.registry.put({
      id,
      service: "s",
      address,
      availabilityZone: "a",
      slots: 8,
      state: "ready",
      coldMs: 0,
      startedMs,
    });
  }

  /** Sends the bad request; the client gives up after `giveUpMs`. */
  async function sendBad(id: string, giveUpMs?: number): Promise<number> {
    if (giveUpMs === undefined) {
      const { status } = await fixture.send("/unsafe/", { id, body: BAD_BODY });
      await sleep(clock, SETTLE_MS);
      return status;
    }
    const req = fixture.open("/unsafe/", { id });
    req.on("error", () => undefined);
    req.end(BAD_BODY);
    await sleep(clock, giveUpMs);
    req.destroy();
    await sleep(clock, SETTLE_MS);
    return 0;
  }

  async function expectRefusedAfterTwo(): Promise<void> {
    expect(bad, "crashes").to.equal(2);
    expect(await sendBad("b3")).to.equal(NOT_RUN_STATUS);
    expect(bad, "crashes").to.equal(2);
    expect((await fixture.send("/unsafe/")).status).to.equal(200);
  }

  it("is found if the entry is gone before the connections end", async () => {
    await start((index) => {
      fixture.node.registry.demote(`e${index + 1}`);
      fixture.endpoints[index]!.close();
    });
    await sendBad("b1");
    await sendBad("b2");
    await expectRefusedAfterTwo();
  });

  it("is found if the endpoint has restarted before its connections end", async () => {
    await start((index, socket) => {
      register(index, `e${index + 1}`, bad + 1);
      socket.destroy();
    });
    await sendBad("b1");
    await sendBad("b2");
    await expectRefusedAfterTwo();
  });

  it("is found if another endpoint takes the address before the probe", async () => {
    await start((index, socket) => {
      socket.destroy();
      setTimeout(
        () => register(index, `other-${index}`, 2),
        SETTLE_MS / 3,
      );
    });
    await sendBad("b1");
    await sendBad("b2");
    await expectRefusedAfterTwo();
  });

  it("is found if the endpoint falls silent and its entry lapses", async () => {
    const silent: number[] = [];
    await start((index) => silent.push(index));
    for (const id of ["b1", "b2"]) {
      await sendBad(id, SETTLE_MS);
      fixture.node.registry.demote(`e${silent.at(-1)! + 1}`);
    }
    await expectRefusedAfterTwo();
  });

  it("is found if the client gives up before the endpoint crashes", async () => {
    const silent: number[] = [];
    await start((index) => silent.push(index));
    for (const id of ["b1", "b2"]) {
      await sendBad(id, SETTLE_MS);
      const endpoint = fixture.node.registry.get(`e${silent.at(-1)! + 1}`)!;
      fixture.node.crashSuspects.recordEndpointDown(endpoint.key);
      fixture.node.registry.delete(endpoint.entry.id);
    }
    await expectRefusedAfterTwo();
  });

  it("is found if the deadline passes before the endpoint crashes", async () => {
    const silent: number[] = [];
    await start((index) => silent.push(index));
    for (const id of ["b1", "b2"]) {
      await fixture.send("/unsafe/", {
        id,
        body: BAD_BODY,
        headers: { "x-left": String(SETTLE_MS) },
      });
      const endpoint = fixture.node.registry.get(`e${silent.at(-1)! + 1}`)!;
      fixture.node.crashSuspects.recordEndpointDown(endpoint.key);
      fixture.node.registry.delete(endpoint.entry.id);
    }
    await expectRefusedAfterTwo();
  });

  it("is found if another endpoint answers at the address", async () => {
    await start((index, socket) => {
      socket.destroy();
      const endpoint = fixture.endpoints[index]!;
      endpoint.handler = (req, res) => {
        res.writeHead(421, { "x-id": req.id }).end();
      };
    });
    await sendBad("b1");
    await sendBad("b2");
    // Requests come back to the two once they are no longer avoided.
    for (let index = 0; index < ENDPOINT_COUNT * 20; index += 1) {
      await fixture.send("/safe/", { id: `s${index}` });
      await sleep(clock, SETTLE_MS / 3);
    }
    await expectRefusedAfterTwo();
  });

  it("does not count endpoints that end after they said that they leave", async () => {
    await start((index) => {
      const { entry } = fixture.node.registry.get(`e${index + 1}`)!;
      fixture.node.registry.put({ ...entry, state: "leaving" });
      fixture.node.registry.demote(entry.id);
      fixture.endpoints[index]!.close();
    });
    await sendBad("b1");
    await sendBad("b2");
    await sendBad("b3");
    expect(bad).to.equal(3);
  });
});
