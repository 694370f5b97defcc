import { expect } from "chai";
import fc from "fast-check";
import { describe, it } from "mocha";
import { TokenBucket } from "../src/token_bucket.ts";

describe("TokenBucket", () => {
  it("never grants more than the rate allows for the elapsed time", () => {
    const step = fc.record({
      waitMs: fc.integer({ min: 0, max: 5_000 }),
      wanted: fc.integer({ min: 0, max: 2_000 }),
    });
    fc.assert(
      fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
        const limits = { ratePerSecond: 100, burst: 500 };
        const bucket = new TokenBucket({ ...limits, tokens: 0, nowMs: 0 });
        let nowMs = 0;
        let granted = 0;
        for (const { waitMs, wanted } of steps) {
          nowMs += waitMs;
          granted += bucket.take(wanted, nowMs);
          expect(granted).to.be.at.most(nowMs / 1_000 * 100 + 500);
          expect(granted).to.be.at.most(nowMs / 1_000 * 100 + 1e-6);
        }
      }),
      { seed: 5, numRuns: 300 },
    );
  });

  it("computes the wait until enough tokens are available", () => {
    const bucket = new TokenBucket({
      ratePerSecond: 10,
      burst: 100,
      tokens: 0,
      nowMs: 0,
    });
    expect(bucket.waitMs(20, 0)).to.equal(2_000);
    expect(bucket.take(20, 2_000)).to.equal(20);
  });
});
