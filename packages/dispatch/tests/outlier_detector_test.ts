import { ManualClock } from "@limpetshed/base";
import { expect } from "chai";
import { describe, it } from "mocha";
import { OutlierDetector } from "../src/outlier_detector.ts";

const ENDPOINTS = ["e1", "e2", "e3", "e4"];

function setUp() {
  const clock = new ManualClock();
  const detector = new OutlierDetector({ clock });
  const outliers = () => [...detector.outliers(ENDPOINTS)];
  return { clock, detector, outliers };
}

describe("OutlierDetector", () => {
  it("avoids an unreachable endpoint with increasing backoff", async () => {
    const { clock, detector, outliers } = setUp();
    detector.recordConnectionFailure("e1");
    expect(outliers()).to.deep.equal(["e1"]);
    await clock.advance(400);
    expect(outliers()).to.deep.equal([]);
    detector.recordConnectionFailure("e1");
    await clock.advance(600);
    expect(outliers()).to.deep.equal(["e1"]);
  });

  it("limits the backoff to a few seconds", async () => {
    const { clock, detector, outliers } = setUp();
    for (let index = 0; index < 3; index += 1) {
      detector.recordConnectionFailure("e1");
    }
    await clock.advance(3_000);
    expect(outliers()).to.deep.equal([]);
  });

  it("uses an endpoint again once it responds", () => {
    const { detector, outliers } = setUp();
    detector.recordConnectionFailure("e1");
    detector.recordDelivered("e1");
    expect(outliers()).to.deep.equal([]);
  });

  it("avoids an endpoint that fails many more requests than the others", () => {
    const { detector, outliers } = setUp();
    for (let index = 0; index < 12; index += 1) {
      detector.recordFailedRequest("e2");
      ENDPOINTS.filter((key) => key !== "e2").forEach((key) =>
        detector.recordDelivered(key)
      );
    }
    expect(outliers()).to.deep.equal(["e2"]);
  });

  it("avoids no endpoint when all fail alike", () => {
    const { detector, outliers } = setUp();
    for (let index = 0; index < 20; index += 1) {
      ENDPOINTS.forEach((key) => detector.recordFailedRequest(key));
    }
    expect(outliers()).to.deep.equal([]);
  });

  it("avoids an endpoint that is too slow for any answer to be awaited", () => {
    const { detector, outliers } = setUp();
    for (let index = 0; index < 4; index += 1) {
      detector.recordOvertaken("e1", 400 - 10 * index);
      ["e2", "e3", "e4"].forEach((key) => detector.recordHeadersTime(key, 50));
    }
    expect(outliers()).to.deep.equal(["e1"]);
  });

  it("avoids an endpoint that is much slower than the others", async () => {
    const { clock, detector, outliers } = setUp();
    for (let index = 0; index < 4; index += 1) {
      ENDPOINTS.forEach((key) =>
        detector.recordHeadersTime(key, key === "e3" ? 480 : 60)
      );
    }
    expect(outliers()).to.deep.equal(["e3"]);
    await clock.advance(2_600);
    expect(outliers()).to.deep.equal([]);
    detector.recordHeadersTime("e3", 60);
    detector.recordHeadersTime("e3", 60);
    detector.recordHeadersTime("e3", 60);
    expect(outliers()).to.deep.equal([]);
  });

  it("tolerates the additional time of long prompts", () => {
    const { detector, outliers } = setUp();
    for (let index = 0; index < 6; index += 1) {
      ENDPOINTS.forEach((key) =>
        detector.recordHeadersTime(key, key === "e1" ? 150 : 50)
      );
    }
    expect(outliers()).to.deep.equal([]);
  });

  // An endpoint that refused all it got was chosen most, as it was always idle.
  it("avoids an endpoint that rejects one request after the other", async () => {
    const { clock, detector, outliers } = setUp();
    detector.recordRejected("e1");
    detector.recordRejected("e1");
    expect(outliers()).to.deep.equal([]);
    detector.recordRejected("e1");
    expect(outliers()).to.deep.equal(["e1"]);
    await clock.advance(400);
    expect(outliers()).to.deep.equal([]);
    detector.recordRejected("e1");
    await clock.advance(799);
    expect(outliers()).to.deep.equal(["e1"]);
  });

  it("does not avoid an endpoint that takes requests in between", () => {
    const { detector, outliers } = setUp();
    for (let index = 0; index < 20; index += 1) {
      detector.recordRejected("e1");
      detector.recordRejected("e1");
      detector.recordAccepted("e1");
    }
    expect(outliers()).to.deep.equal([]);
  });

  it("keeps the backoff of an unreachable endpoint that takes a request", () => {
    const { detector, outliers } = setUp();
    detector.recordConnectionFailure("e1");
    detector.recordRejected("e1");
    detector.recordAccepted("e1");
    expect(outliers()).to.deep.equal(["e1"]);
  });
});
