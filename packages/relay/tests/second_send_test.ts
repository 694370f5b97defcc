import { expect } from "chai";
import { afterEach, describe, it } from "mocha";
import {
  rejectAsNotRun,
  RelayFixture,
  type RequestHandler,
  resetConnection,
  respond,
} from "./relay_fixture.ts";

const SLOW_MS = 2_000;
/** Time after which the second endpoint answers, and the first fails before. */
const SECOND_MS = 400;
const FAILURE_MS = 250;

const respondLate: RequestHandler = (request, res, socket) => {
  setTimeout(() => respond(request, res, socket), SLOW_MS);
};

describe("a slow request that may be repeated", () => {
  let fixture: RelayFixture;

  afterEach(() => fixture.close());

  /** Sends requests that are answered at once, then one that the first endpoint
   * to get it treats as `first` says and the second answers after a while. */
  async function sendSlow(
    path: string,
    hedgedShare?: number,
    first: RequestHandler = respondLate,
  ) {
    // The budget allows one retry or second send.
    fixture = new RelayFixture({ hedgedShare, retryRatio: 0, retrySlack: 2 });
    let slowId = "";
    const handler: RequestHandler = (request, res, socket) => {
      if (request.id !== slowId) {
        respond(request, res, socket);
      } else if (received().length === 1) {
        first(request, res, socket);
      } else {
        setTimeout(() => respond(request, res, socket), SECOND_MS);
      }
    };
    await fixture.start(handler, handler);
    for (let round = 0; round < 5; round += 1) {
      await Promise.all(
        [..."abcdefgh"].map((name) =>
          fixture.send("/safe/", { id: `${name}${round}` })
        ),
      );
    }
    // The lines of one event are bounded for each second.
    await new Promise((resolve) => setTimeout(resolve, 1_100));
    slowId = "slow";
    const sentMs = performance.now();
    const response = await fixture.send(path, { id: slowId });
    return { response, tookMs: performance.now() - sentMs };
  }

  function received() {
    return fixture.endpoints.flatMap(({ requests }) =>
      requests.filter(({ id }) => id === "slow")
    );
  }

  function lines(event: string): Record<string, unknown>[] {
    return fixture.logLines
      .map((line) => JSON.parse(line) as Record<string, unknown>)
      .filter((line) => line.event === event && line.requestId === "slow");
  }

  it("is answered by a second endpoint, and the first is let go", async () => {
    const { response, tookMs } = await sendSlow("/safe/", 0.1);
    expect(response).to.include({ status: 200, body: "answer to slow" });
    expect(tookMs).to.be.below(SLOW_MS / 2);
    expect(
      fixture.endpoints.map(({ requests }) =>
        requests.filter(({ id }) => id === "slow").length
      ),
    ).to.deep.equal([1, 1]);
    await received()[0]!.closed;
    expect(lines("hedge")[0]).to.include({ outcome: "second_won" });
    expect(lines("send").map(({ outcome }) => outcome)).to.have.members([
      "cancelled",
      "delivered",
    ]);
    expect(lines("answered")[0]).to.include({ sends: 2 });
  });

  const failures: [string, string, RequestHandler][] = [
    ["fails", "failed", ({ id }, res) => {
      res.writeHead(500, { "x-id": id, "x-signed": "1" }).end("error");
    }],
    ["is refused", "rejected", rejectAsNotRun],
    ["is lost", "lost", resetConnection],
  ];
  for (const [name, outcome, fail] of failures) {
    it(`is answered by the second endpoint if the first send ${name}`, async () => {
      const { response } = await sendSlow("/safe/", 0.1, (...args) => {
        setTimeout(() => fail(...args), FAILURE_MS);
      });
      expect(response).to.include({ status: 200, body: "answer to slow" });
      expect(lines("send").map((line) => line.outcome)).to.deep.equal([
        outcome,
        "delivered",
      ]);
      expect(lines("hedge")[0]).to.include({ outcome: "second_won" });
      expect(lines("repeat_denied")).to.have.length(0);
      expect(received()).to.have.length(2);
    });
  }

  for (
    const [name, path, share] of [
      ["an unsafe request", "/unsafe/", 0.1],
      ["any request by default", "/safe/", undefined],
    ] as const
  ) {
    it(`is sent once: ${name}`, async () => {
      const { response, tookMs } = await sendSlow(path, share);
      expect(response.status).to.equal(200);
      expect(tookMs).to.be.at.least(SLOW_MS - 10);
      expect(received()).to.have.length(1);
    });
  }
});
