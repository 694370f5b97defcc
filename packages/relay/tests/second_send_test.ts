import { expect } from "chai";
import { afterEach, describe, it } from "mocha";
import { RelayFixture, type RequestHandler, respond } from "./relay_fixture.ts";

const SLOW_MS = 2_000;

describe("a slow request that may be repeated", () => {
  let fixture: RelayFixture;

  afterEach(() => fixture.close());

  /** Sends requests that are answered at once, then one that the first endpoint
   * to get it answers late; returns its response and time. */
  async function sendSlow(path: string, hedgedShare?: number) {
    fixture = new RelayFixture({ hedgedShare });
    let slowId = "";
    const respondAtLast: RequestHandler = (request, res, socket) => {
      const isFirst = request.id === slowId && sendCount() === 1;
      setTimeout(() => respond(request, res, socket), isFirst ? SLOW_MS : 0);
    };
    await fixture.start(respondAtLast, respondAtLast);
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

  function sendCount(): number {
    return received().length;
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
      expect(sendCount()).to.equal(1);
    });
  }
});
