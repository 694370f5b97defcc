import { expect } from "chai";
import { afterEach, beforeEach, describe, it } from "mocha";
import { sendRawRequest } from "./raw_client.ts";
import { RelayFixture, type RequestHandler } from "./relay_fixture.ts";

const LARGE_BODY = "x".repeat(100_000);

/** Sends the start of a response, and the rest after a second. */
function respondSlowly(start: string, rest: string): RequestHandler {
  return ({ id }, res) => {
    res.writeHead(200, { "x-id": id, "x-signed": "1" });
    res.write(start);
    setTimeout(() => res.end(rest), 1_000);
  };
}

/** Cuts a response off after `sent`. */
function breakOff(sent: string): RequestHandler {
  return ({ id }, res, socket) => {
    res.writeHead(200, {
      "x-id": id,
      "x-signed": "1",
      "content-length": sent.length + 1,
    });
    res.write(sent, () => socket.resetAndDestroy());
  };
}

describe("the response to a safe request", () => {
  let fixture: RelayFixture;

  beforeEach(() => {
    fixture = new RelayFixture();
  });

  afterEach(() => fixture.close());

  for (
    const [name, start] of [["large", LARGE_BODY], ["slow", "start"]] as const
  ) {
    it(`is passed on as it comes if it is ${name}`, async () => {
      await fixture.start(respondSlowly(start, "rest"));
      const sentMs = performance.now();
      let firstBytesMs = Infinity;
      const response = await sendRawRequest(fixture.address, {
        path: "/safe/",
        onFirstBytes: () => {
          firstBytesMs = performance.now() - sentMs;
        },
      });
      expect(response.body).to.equal(`${start}rest`);
      expect(response.isComplete).to.equal(true);
      expect(firstBytesMs).to.be.below(900);
    });
  }

  it("is an error if it breaks off at every endpoint", async () => {
    await fixture.start(breakOff("half"), breakOff("half"));
    const response = await fixture.send("/safe/");
    expect(response.status).to.equal(502);
    expect(response.isComplete).to.equal(true);
    expect(fixture.endpoints.map(({ requests }) => requests.length)).to.deep
      .equal([1, 1]);
  });

  it("breaks off if its start has been passed on", async () => {
    await fixture.start(breakOff(LARGE_BODY), breakOff(LARGE_BODY));
    const response = await fixture.send("/safe/");
    expect(response.isComplete).to.equal(false);
    expect(fixture.endpoints.map(({ requests }) => requests.length)).to.deep
      .equal([1, 0]);
  });
});
