import { expect } from "chai";
import { afterEach, beforeEach, describe, it } from "mocha";
import {
  answerBytes,
  RawEndpoint,
  type RawRequest,
  refusalBytes,
} from "./raw_endpoint.ts";
import { type ReceivedResponse, RelayFixture } from "./relay_fixture.ts";

/** Statuses that promise that a request has not run and will not. */
const NOT_RUN_STATUSES = [408, 421, 429, 503];
const REFUSAL_STATUSES = [503, 429, 421];
const IDLE_MS = 40;

/** When an endpoint writes its refusal of an earlier request once more. */
const MOMENTS: Readonly<
  Record<string, (request: RawRequest, extra: string) => void>
> = {
  "before the answer, in one write": ({ id, socket }, extra) => {
    socket.write(extra + answerBytes(id));
  },
  "before the answer, apart": ({ id, socket }, extra) => {
    socket.write(extra);
    setTimeout(() => socket.write(answerBytes(id)), IDLE_MS);
  },
  "behind the answer, in one write": ({ id, socket }, extra) => {
    socket.write(answerBytes(id) + extra);
  },
  "while the connection is idle": ({ id, socket }, extra) => {
    socket.write(answerBytes(id));
    setTimeout(() => socket.write(extra), IDLE_MS / 2);
  },
};

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

describe("a refusal that an endpoint writes once more", () => {
  let fixture: RelayFixture;
  let endpoints: RawEndpoint[];

  beforeEach(() => {
    fixture = new RelayFixture();
    endpoints = [];
  });

  afterEach(() => {
    fixture.close();
    endpoints.forEach((endpoint) => endpoint.close());
  });

  async function start(...handlers: ((request: RawRequest) => void)[]) {
    await fixture.start();
    for (const handler of handlers) {
      const endpoint = new RawEndpoint(handler);
      endpoints.push(endpoint);
      fixture.node.registry.put({
        id: `e${endpoints.length}`,
        service: "s",
        address: await endpoint.listen(),
        availabilityZone: "a",
        slots: 8,
        state: "ready",
        coldMs: 0,
        startedMs: 1,
      });
    }
  }

  /** Ids for which the endpoints began to work: all but those refused. */
  function runsOf(id: string, refused: ReadonlySet<string>): number {
    const received = endpoints.flatMap(({ ids }) => ids)
      .filter((other) => other === id).length;
    return received - (refused.has(id) ? 1 : 0);
  }

  function expectHonest(
    { status }: ReceivedResponse,
    { runs, path }: { runs: number; path: string },
  ): void {
    if (runs > 0) {
      expect(NOT_RUN_STATUSES).to.not.include(status);
    }
    if (path === "/unsafe/") {
      expect(runs).to.be.at.most(1);
    }
  }

  for (const [moment, writeAnswer] of Object.entries(MOMENTS)) {
    for (const status of REFUSAL_STATUSES) {
      for (const path of ["/safe/", "/unsafe/", "/chat/"]) {
        // Clients were told that a request had not run which an endpoint ran, or
        // it ran at a second endpoint.
        it(`does not pass for that of another request: ${status} ${moment}, ${path}`, async () => {
          const refused = new Set<string>();
          const handle = (request: RawRequest) => {
            const { id, earlierIds, socket } = request;
            const earlier = earlierIds.find((other) => refused.has(other));
            if (earlier !== undefined) {
              writeAnswer(request, refusalBytes(earlier, status));
            } else if (earlierIds.length === 0 && id.startsWith("refused")) {
              refused.add(id);
              socket.write(refusalBytes(id, status));
            } else {
              socket.write(answerBytes(id));
            }
          };
          await start(handle);
          await fixture.send(path, { id: "refused1" });
          for (let index = 0; index < 6; index += 1) {
            const id = `r${index}`;
            const res = await fixture.send(path, { id });
            expectHonest(res, { runs: runsOf(id, refused), path });
            await sleep(index % 2 === 0 ? 0 : IDLE_MS);
          }
        });
      }

      it(`does not pass for that of the same request later: ${status} ${moment}`, async () => {
        const refused = new Set<string>();
        const runs: string[] = [];
        await start((request) => {
          const { id, earlierIds, socket } = request;
          if (!refused.has(id)) {
            refused.add(id);
            socket.write(refusalBytes(id, status));
            return;
          }
          runs.push(id);
          if (earlierIds.includes(id)) {
            writeAnswer(request, refusalBytes(id, status));
          } else {
            socket.write(answerBytes(id));
          }
        });
        await fixture.send("/unsafe/", { id: "r1" });
        const res = await fixture.send("/unsafe/", { id: "r1" });
        expect(runs).to.deep.equal(["r1"]);
        expect(res.status).to.equal(200);
      });
    }
  }

  it("ends a connection that brings more than was asked for", async () => {
    await start(({ id, socket }) => {
      socket.write(answerBytes(id) + refusalBytes("r0", 503));
    });
    for (let index = 1; index <= 4; index += 1) {
      const res = await fixture.send("/safe/", { id: `r${index}` });
      expect(res.status).to.equal(200);
      await sleep(5);
    }
    expect(endpoints[0]!.connections).to.equal(4);
  });

  it("does not pass for the answer of one of many requests at once", async () => {
    const runs = new Map<string, number>();
    let count = 0;
    const handle = ({ id, earlierIds, socket }: RawRequest) => {
      count += 1;
      if (count % 5 === 0) {
        socket.write(refusalBytes(id, 503));
        return;
      }
      runs.set(id, (runs.get(id) ?? 0) + 1);
      const extra = refusalBytes(earlierIds.at(-1) ?? id, 503);
      if (count % 3 === 0 && earlierIds.length > 0) {
        socket.write(answerBytes(id) + extra);
      } else {
        socket.write(answerBytes(id));
        if (count % 7 === 0 && earlierIds.length > 0) {
          setTimeout(() => socket.write(extra), count % 4);
        }
      }
    };
    await start(handle, handle);
    const results = await Promise.all(
      Array.from({ length: 300 }, async (_, index) => {
        await sleep(index);
        const id = `r${index}`;
        return { id, res: await fixture.send("/unsafe/", { id }) };
      }),
    );
    for (const { id, res } of results) {
      expectHonest(res, { runs: runs.get(id) ?? 0, path: "/unsafe/" });
    }
  });
});
