import { ManualClock } from "@limpetshed/base";
import { expect } from "chai";
import { before, describe, it } from "mocha";
import { EndpointRegistry } from "../src/endpoint_registry.ts";
import { ExecutionTimes } from "../src/execution_times.ts";
import { LoadTracker } from "../src/load_tracker.ts";
import { RecentLoads } from "../src/recent_loads.ts";
import { hasScarceSlots, ScarceSlots } from "../src/scarce_slots.ts";
import { entry, hashingReady } from "./fixtures.ts";
import { playScarceLoad, type ScarceLoad } from "./support/scarce_fleet.ts";

const wave = (second: number) =>
  0.75 * (1 + 0.55 * Math.sin(2 * Math.PI * second / 8));
const burst = (second: number) => second > 4 && second < 9 ? 1.2 : 0.7;

interface Case {
  name: string;
  load: Omit<ScarceLoad, "isScarceRuleUsed" | "seed">;
  /** Least fraction of the callers that are to be answered within their target.
   * The loads of single endpoints, as nodes know them, do not suffice for it. */
  minInTime: number;
}

const CASES: Case[] = [
  {
    name: "a wave with a swing of 0.55",
    load: { nodes: 36, rate: wave },
    minInTime: 0.92,
  },
  {
    name: "a burst of 1.7 times the usual rate",
    load: { nodes: 36, rate: burst },
    minInTime: 0.88,
  },
  {
    name: "the loss of one endpoint of three",
    load: { nodes: 36, rate: () => 0.6, alive: (s) => s < 3 ? 3 : 2 },
    minInTime: 0.97,
  },
  {
    name: "the loss of one endpoint of two",
    load: { nodes: 36, rate: () => 0.6, alive: (s) => s < 3 ? 2 : 1 },
    minInTime: 0.52,
  },
  {
    name: "callers who come back four times",
    load: { nodes: 36, rate: () => 1, returns: 4 },
    minInTime: 0.85,
  },
  {
    name: "such callers at 95 nodes",
    load: { nodes: 95, rate: () => 1, returns: 4 },
    minInTime: 0.85,
  },
  {
    name: "a burst at 95 nodes",
    load: { nodes: 95, rate: burst },
    minInTime: 0.88,
  },
];

/** Fraction of the callers who are answered within their target. */
async function inTimeShare(load: Case["load"]): Promise<number> {
  let [allInTime, allCallers] = [0, 0];
  for (const seed of [11, 12, 13]) {
    const { inTime, callers } = await playScarceLoad({
      ...load,
      isScarceRuleUsed: true,
      seed,
    });
    allInTime += inTime;
    allCallers += callers;
  }
  return allInTime / allCallers;
}

describe("a service with fewer slots than nodes", function () {
  this.timeout(30_000);
  before(() => hashingReady);

  for (const { name, load, minInTime } of CASES) {
    it(`answers callers in time under ${name}`, async () => {
      expect(await inTimeShare(load)).to.be.above(minInTime);
    });
  }

  it("refuses nothing while slots are free", async () => {
    for (const nodes of [36, 95]) {
      expect(await inTimeShare({ nodes, rate: () => 0.6 })).to.equal(1);
    }
  });
});

describe("ScarceSlots", () => {
  before(() => hashingReady);

  /** Two endpoints of 6 slots with these loads; requests take 60 ms. */
  const setUp = (inFlight: readonly number[], random = 0.5) => {
    const clock = new ManualClock();
    const registry = new EndpointRegistry({ clock });
    const loads = new LoadTracker({ clock });
    const executionTimes = new ExecutionTimes();
    const executed = { service: "model", durationMs: 60, load: 0, slots: 6 };
    executionTimes.record(executed);
    const candidates = inFlight.map((load, index) => {
      const endpoint = registry.put(entry(`e${index}`, { slots: 6 }));
      loads.setPeerCounts(`n${index}`, new Map([[endpoint.key, load]]));
      return endpoint;
    });
    const slots = new ScarceSlots({
      loads: new RecentLoads({ clock, loads }),
      executionTimes,
      random: () => random,
    });
    const admit = (maxWaitMs: number) =>
      slots.admit({ service: "model", maxWaitMs, leftMs: 3_000, candidates });
    return { slots, candidates, admit };
  };

  it("is needed only with fewer slots than nodes", () => {
    const { candidates } = setUp([0, 0]);
    expect(hasScarceSlots(candidates, 12)).to.equal(false);
    expect(hasScarceSlots(candidates, 13)).to.equal(true);
  });

  it("admits urgent requests and lets their callers come back first", () => {
    const { admit } = setUp([15, 20]);
    expect(admit(240).retryAfterMs).to.equal(undefined);
    const shortMs = admit(60).retryAfterMs!;
    const longMs = admit(20).retryAfterMs!;
    expect(shortMs).to.be.below(longMs);
    expect(longMs).to.be.below(120);
  });

  it("refuses nothing without a target latency", () => {
    expect(setUp([30, 30]).admit(Infinity).retryAfterMs).to.equal(undefined);
  });

  it("sends few requests to an endpoint that stands still", () => {
    const draws = Array.from({ length: 100 }, (_, index) => {
      const { slots, candidates } = setUp([30, 0], index / 100);
      return candidates.indexOf(slots.narrow(candidates)[0]!);
    });
    expect(draws.filter((index) => index === 0).length).to.be.within(1, 5);
  });

  it("weights what nodes told last, as a sample of all nodes", async () => {
    const clock = new ManualClock();
    const loads = new LoadTracker({ clock });
    const recent = new RecentLoads({ clock, loads });
    expect(recent.inFlight("e")).to.equal(0);
    for (const node of ["n1", "n2"]) {
      loads.setPeerCounts(node, new Map([["e", 5]]));
    }
    await clock.advance(2_000);
    loads.setPeerCounts("n3", new Map([["e", 1]]));
    loads.begin("e");
    expect(recent.inFlight("e")).to.be.closeTo(1 + 3 * 1, 0.1);
  });

  it("tells execution from waiting by the load", () => {
    const executionTimes = new ExecutionTimes();
    for (const [durationMs, load] of [[60, 3], [120, 11], [240, 23]] as const) {
      executionTimes.record({ service: "s", durationMs, load, slots: 6 });
    }
    expect(executionTimes.meanMs("s")).to.be.closeTo(60, 1);
  });
});
