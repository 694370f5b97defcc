import { ManualClock } from "@limpetshed/base";
import { expect } from "chai";
import { before, describe, it } from "mocha";
import { ColdStartLimiter } from "../src/cold_start_limiter.ts";
import { RetryBudget } from "../src/retry_budget.ts";
import { hashingReady } from "./fixtures.ts";

/** The largest number of events within any window of this length. */
function maxWithin(timesMs: readonly number[], windowMs: number): number {
  return Math.max(
    0,
    ...timesMs.map((startMs) =>
      timesMs.filter((timeMs) =>
        timeMs >= startMs && timeMs < startMs + windowMs
      ).length
    ),
  );
}

describe("RetryBudget when a service fails every request", () => {
  const limits = { ratio: 0.2, slack: 58, windowMs: 10_000 };

  for (const nodes of [1, 4, 7]) {
    it(`keeps ${nodes} nodes within the fleet-wide limit`, async () => {
      const clock = new ManualClock();
      const budgets = Array.from(
        { length: nodes },
        () => new RetryBudget({ clock, limits, nodeCount: () => nodes }),
      );
      const requests: number[] = [];
      const retries: number[] = [];
      for (let ms = 0; ms < 25_000; ms += 50) {
        for (const budget of budgets) {
          budget.recordRequest("s");
          requests.push(ms);
          if (budget.tryConsume("s")) {
            retries.push(ms);
          }
        }
        await clock.advance(50);
      }
      const perWindow = requests.length * limits.windowMs / 25_000;
      const maxRetries = maxWithin(retries, limits.windowMs);
      expect(maxRetries).to.be.at.most(limits.ratio * perWindow + limits.slack);
      expect(maxRetries).to.be.greaterThan(limits.ratio * perWindow * 0.5);
    });
  }

  it("limits each service separately", () => {
    const clock = new ManualClock();
    const budget = new RetryBudget({
      clock,
      limits: { ratio: 0, slack: 10, windowMs: 1_000 },
      nodeCount: () => 1,
    });
    const allowed = Array.from({ length: 20 }, () => budget.tryConsume("a"));
    expect(allowed.filter(Boolean)).to.have.length(7);
    expect(budget.tryConsume("b")).to.equal(true);
  });
});

describe("ColdStartLimiter when endpoints restart cold under full load", () => {
  before(() => hashingReady);

  const limits = { rateMultiple: 1.5, slack: 5 };
  const requestsPerS = 24;

  for (const count of [1, 4, 34, 410]) {
    it(`keeps ${count} nodes within the endpoint's limit`, async () => {
      const clock = new ManualClock();
      const ids = Array.from({ length: count }, (_, index) => `n${index}`);
      const limiters = ids.map((nodeId) =>
        new ColdStartLimiter({ clock, limits, nodeId, nodeIds: () => ids })
      );
      const sent: number[] = [];
      for (let ms = 0; ms < 3_000; ms += 20) {
        for (const limiter of limiters) {
          if (limiter.allows("e1", requestsPerS)) {
            limiter.recordRequest("e1");
            sent.push(ms);
          }
        }
        await clock.advance(20);
      }
      const bound = requestsPerS * limits.rateMultiple + limits.slack;
      expect(maxWithin(sent, 1_000)).to.be.at.most(bound);
      expect(sent.length).to.be.greaterThan(requestsPerS);
    });
  }

  it("does not limit a service without a cold-start rate", () => {
    const limiter = new ColdStartLimiter({
      clock: new ManualClock(),
      limits,
      nodeId: "n",
      nodeIds: () => ["n"],
    });
    for (let index = 0; index < 100; index += 1) {
      expect(limiter.allows("e1", 0)).to.equal(true);
      limiter.recordRequest("e1");
    }
  });
});
