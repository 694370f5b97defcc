import { ManualClock } from "@limpetshed/base";
import { expect } from "chai";
import { describe, it } from "mocha";
import { HedgePolicy } from "../src/hedge_policy.ts";

const KIND = { service: "s", route: "read" };

/** Creates a policy that has seen `times` of requests of the kind. */
function setUp({ share = 0.05, times = [] as number[] } = {}) {
  const clock = new ManualClock();
  const policy = new HedgePolicy({ clock, share });
  times.forEach((ms) => policy.recordTime(KIND, ms));
  return { clock, policy };
}

/** 1 to 100 ms. */
const HUNDRED = Array.from({ length: 100 }, (_, index) => index + 1);

describe("HedgePolicy", () => {
  const cases: [string, number, number[], number | undefined][] = [
    [
      "knows no time before enough requests",
      0.05,
      HUNDRED.slice(69),
      undefined,
    ],
    ["waits for what nearly none exceeds", 0.05, HUNDRED, 95],
    ["waits longer for a smaller share", 0.02, HUNDRED, 98],
    ["keeps to the largest percentile", 0.001, HUNDRED, 99],
    ["keeps to the smallest percentile", 0.5, HUNDRED, 90],
    ["waits no less than requests differ by the network", 0.05, [
      ...Array.from({ length: 40 }, () => 2),
    ], 20],
    ["never sends twice with a share of 0", 0, HUNDRED, undefined],
  ];
  for (const [name, share, times, expected] of cases) {
    it(name, () => {
      const { policy } = setUp({ share, times });
      expect(policy.times(KIND)?.delayMs).to.equal(expected);
    });
  }

  it("compares a rare route with all requests of its service", () => {
    const { policy } = setUp({ times: HUNDRED });
    expect(policy.times({ service: "s", route: "rare" })?.delayMs).to.equal(95);
    expect(policy.times({ service: "other", route: "read" })).to.equal(
      undefined,
    );
  });

  it("forgets times that say nothing of the current load", async () => {
    const { clock, policy } = setUp({ times: HUNDRED });
    await clock.advance(31_000);
    expect(policy.times(KIND)).to.equal(undefined);
  });

  it("allows the share of requests, and saves up no burst", () => {
    const { policy } = setUp({ share: 0.05 });
    const take = (requests: number) => {
      let taken = 0;
      for (let i = 0; i < requests; i++) {
        policy.recordRequest("s");
        taken += policy.tryTake("s") ? 1 : 0;
      }
      return taken;
    };
    expect(take(19)).to.equal(0);
    expect(take(981)).to.equal(50);
    Array.from({ length: 1_000 }, () => policy.recordRequest("s"));
    expect(policy.tryTake("s") && policy.tryTake("s")).to.equal(true);
    expect(policy.tryTake("s")).to.equal(false);
    policy.giveBack("s");
    expect(policy.tryTake("other")).to.equal(false);
    expect(policy.tryTake("s")).to.equal(true);
  });
});
