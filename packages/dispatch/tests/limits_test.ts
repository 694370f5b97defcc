import { ManualClock } from "@limpetshed/base";
import { expect } from "chai";
import { before, describe, it } from "mocha";
import { ColdStartLimiter } from "../src/cold_start_limiter.ts";
import { RetryBudget } from "../src/retry_budget.ts";
import { ready } from "./fixtures.ts";

/** Most of `times` that lie in any window of that length. */
function mostWithin(times: readonly number[], windowMs: number): number {
  return Math.max(
    0,
    ...times.map((start) =>
      times.filter((at) => at >= start && at < start + windowMs).length
    ),
  );
}

describe("RetryAllowance when a service fails every request", () => {
  const limits = { ratio: 0.2, slack: 58, windowMs: 10_000 };

  for (const nodes of [1, 4, 7]) {
    it(`keeps ${nodes} nodes together within the fleet's limit`, async () => {
      const clock = new ManualClock();
      const allowances = Array.from(
        { length: nodes },
        () => new RetryBudget({ clock, limits, nodes: () => nodes }),
      );
      const requests: number[] = [];
      const repeats: number[] = [];
      for (let ms = 0; ms < 25_000; ms += 50) {
        for (const allowance of allowances) {
          allowance.recordRequest("s");
          requests.push(ms);
          if (allowance.tryRetry("s")) {
            repeats.push(ms);
          }
        }
        await clock.advance(50);
      }
      const perWindow = requests.length * limits.windowMs / 25_000;
      const most = mostWithin(repeats, limits.windowMs);
      expect(most).to.be.at.most(limits.ratio * perWindow + limits.slack);
      expect(most).to.be.greaterThan(limits.ratio * perWindow * 0.5);
    });
  }

  it("counts each service by itself", () => {
    const clock = new ManualClock();
    const allowance = new RetryBudget({
      clock,
      limits: { ratio: 0, slack: 10, windowMs: 1_000 },
      nodes: () => 1,
    });
    const taken = Array.from({ length: 20 }, () => allowance.tryRetry("a"));
    expect(taken.filter(Boolean)).to.have.length(7);
    expect(allowance.tryRetry("b")).to.equal(true);
  });
});

describe("ColdStartGate when endpoints come back cold under full load", () => {
  before(() => ready);

  const limits = { overage: 1.5, slack: 5 };
  const requestsPerS = 24;

  for (const count of [1, 4, 34, 410]) {
    it(`keeps ${count} nodes together within what the endpoint bears`, async () => {
      const clock = new ManualClock();
      const ids = Array.from({ length: count }, (_, at) => `n${at}`);
      const gates = ids.map((nodeId) =>
        new ColdStartLimiter({ clock, limits, nodeId, nodeIds: () => ids })
      );
      const sent: number[] = [];
      for (let ms = 0; ms < 3_000; ms += 20) {
        for (const gate of gates) {
          if (gate.allows("e1", requestsPerS)) {
            gate.count("e1");
            sent.push(ms);
          }
        }
        await clock.advance(20);
      }
      const bound = requestsPerS * limits.overage + limits.slack;
      expect(mostWithin(sent, 1_000)).to.be.at.most(bound);
      expect(sent.length).to.be.greaterThan(requestsPerS);
    });
  }

  it("does not limit a service that names no rate", () => {
    const gate = new ColdStartLimiter({
      clock: new ManualClock(),
      limits,
      nodeId: "n",
      nodeIds: () => ["n"],
    });
    for (let at = 0; at < 100; at += 1) {
      expect(gate.allows("e1", 0)).to.equal(true);
      gate.count("e1");
    }
  });
});
