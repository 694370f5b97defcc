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

/** 100 to 410 ms. */
const TIMES = Array.from({ length: 32 }, (_, index) => 100 + 10 * index);

describe("HedgePolicy", () => {
  const cases: [string, number, number[], number | undefined][] = [
    ["knows no time before enough requests", 0.05, TIMES.slice(13), undefined],
    ["waits for what nearly none exceeds", 0.05, TIMES, 400],
    ["waits longer for a smaller share", 0.02, TIMES, 410],
    ["keeps to the smallest percentile", 0.5, TIMES, 380],
    ["passes over times of a load that is over", 0.05, [
      ...Array.from({ length: 32 }, () => 5_000),
      ...TIMES,
    ], 400],
    ["waits no less than requests differ by the network", 0.05, [
      ...Array.from({ length: 32 }, () => 2),
    ], 20],
    ["never sends twice with a share of 0", 0, TIMES, undefined],
  ];
  for (const [name, share, times, expected] of cases) {
    it(name, () => {
      const { policy } = setUp({ share, times });
      expect(policy.times(KIND)?.delayMs).to.equal(expected);
    });
  }

  it("compares a rare route with all requests of its service", () => {
    const { policy } = setUp({ times: TIMES });
    expect(policy.times({ service: "s", route: "rare" })?.delayMs).to.equal(
      400,
    );
    expect(policy.times({ service: "other", route: "read" })).to.equal(
      undefined,
    );
  });

  it("forgets times that say nothing of the current load", async () => {
    const { clock, policy } = setUp({ times: TIMES });
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
