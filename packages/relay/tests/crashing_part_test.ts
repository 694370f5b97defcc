import { expect } from "chai";
import { afterEach, beforeEach, describe, it } from "mocha";
import { RelayFixture, type RequestHandler, respond } from "./relay_fixture.ts";

const ENDPOINT_COUNT = 10;
const BAD_PART = "bad";
/** Number of requests with the bad part; each would crash an endpoint. */
const BAD_REQUEST_COUNT = 30;
/** Endpoints that a bad part may cost. */
const MAX_CRASHED_ENDPOINTS = 4;
const ANSWER_MS = 10;

describe("a prompt part that crashes each endpoint that answers it", () => {
  let fixture: RelayFixture;
  let requestCount = 0;
  const crashed = new Set<number>();

  beforeEach(() => {
    fixture = new RelayFixture();
    crashed.clear();
    requestCount = 0;
  });

  afterEach(() => fixture.close());

  /** Crashes the endpoint when a request with the bad part begins. */
  function crashOnBadPart(index: number): RequestHandler {
    return (request, res, socket) => {
      const parts = String(request.headers["x-parts"]).split(",");
      if (!parts.includes(BAD_PART)) {
        setTimeout(() => respond(request, res, socket), ANSWER_MS);
        return;
      }
      res.writeHead(200, { "x-id": request.id, "x-signed": "1" });
      res.write("start", () => {
        crashed.add(index);
        fixture.endpoints[index]!.close();
      });
    };
  }

  async function send(parts: string[]): Promise<number> {
    requestCount += 1;
    const { status, isComplete } = await fixture.send("/unsafe/", {
      id: `r${requestCount}`,
      body: `body ${requestCount}`,
      headers: { "x-parts": [...parts, `own-${requestCount}`].join(",") },
    });
    return isComplete ? status : 0;
  }

  // Each request was counted by itself, so a part cost one endpoint after the
  // other.
  for (const position of ["first", "in the middle", "next to last"] as const) {
    it(`costs few endpoints if it stands ${position}`, async () => {
      await fixture.start(
        ...Array.from({ length: ENDPOINT_COUNT }, (_, i) => crashOnBadPart(i)),
      );
      for (let i = 0; i < BAD_REQUEST_COUNT; i += 1) {
        const others = ["common", `topic-${i % 3}`];
        const index = { first: 0, "in the middle": 1, "next to last": 2 };
        const parts = others.toSpliced(index[position], 0, BAD_PART);
        await Promise.all([send(parts), send(others), send(others)]);
      }
      expect(crashed.size).to.be.at.most(MAX_CRASHED_ENDPOINTS);
      // Requests that share the other parts are served.
      expect(await send(["common", "topic-0"])).to.equal(200);
    });
  }
});
