import { createHash } from "node:crypto";
import { ManualClock } from "@limpetshed/base";
import { Rng } from "@limpetshed/hashing";
import { expect } from "chai";
import { before, describe, it } from "mocha";
import { chooseSpread } from "../src/choose_spread.ts";
import { EndpointRegistry } from "../src/endpoint_registry.ts";
import { LoadTracker } from "../src/load_tracker.ts";
import { PrefixCacheIndex } from "../src/prefix_cache_index.ts";
import { PrefixPolicy } from "../src/prefix_policy.ts";
import { entry, hashingReady, prompt } from "./fixtures.ts";
import {
  type ModelResult,
  type Pattern,
  playUneven,
} from "./support/uneven_model.ts";
import {
  disturbances,
  mixture,
  slowTurn,
  unequalVms,
} from "./support/uneven_patterns.ts";

const FLEETS = [1, 36, 95];
/** Part of the requests that may reach an endpoint above the load bound. */
const MAX_OVER_BOUND = 0.03;
const SEEDS = [1, 2];
/** Part of the requests that have the same text. */
const HOT_SHARE = 0.15;
/** Requests that each endpoint holds, for every node to see. */
const HELD = 4;

/** Plays with the load alone and with the pace, and takes the mean of the
 * seeds. */
function compare(nodes: number, pattern: Pattern) {
  const play = (tellsPace: boolean) => {
    const results = SEEDS.map((seed) =>
      playUneven({ nodes, pattern, hotShare: HOT_SHARE, seed, tellsPace })
    );
    const mean = (of: (result: ModelResult) => number) =>
      results.reduce((sum, result) => sum + of(result), 0) / results.length;
    return {
      meanMs: mean(({ meanMs }) => meanMs),
      p99Ms: mean(({ p99Ms }) => p99Ms),
      overBound: mean(({ overBound }) => overBound),
    };
  };
  return { byLoad: play(false), byTime: play(true) };
}

describe("PrefixPolicy with endpoints that report their pace late", () => {
  before(() => hashingReady);

  /** Factors that mean and 99th percentile may take of those by load alone.
   * Disturbances are over before a report of them is of use: nothing is to be
   * gained from them, and little may be lost by the nearby endpoints that go
   * first. */
  const cases: [string, Pattern, { mean: number; p99: number }][] = [
    ["VMs of different speed", unequalVms, { mean: 1, p99: 1.02 }],
    ["disturbances of 0.6 s", disturbances, { mean: 1.03, p99: 1.05 }],
    ["endpoints that turn 4 times slower", slowTurn, { mean: 0.99, p99: 0.92 }],
    ["all of these at once", mixture, { mean: 1.005, p99: 0.9 }],
  ];
  for (const [name, pattern, factors] of cases) {
    for (const nodes of FLEETS) {
      it(`waits less: ${name}, ${nodes} nodes`, () => {
        const { byLoad, byTime } = compare(nodes, pattern);
        expect(byTime.meanMs).to.be.below(factors.mean * byLoad.meanMs);
        expect(byTime.p99Ms).to.be.at.most(factors.p99 * byLoad.p99Ms);
        expect(byTime.overBound).to.be.at.most(
          Math.max(MAX_OVER_BOUND, 1.1 * byLoad.overBound),
        );
      });
    }
  }

  for (const nodeCount of FLEETS) {
    it(`keeps ${nodeCount} nodes that read the same figure from herding`, () => {
      const clock = new ManualClock();
      const registry = new EndpointRegistry({ clock });
      for (let index = 0; index < 63; index += 1) {
        registry.put(
          entry(`e${index}`, { availabilityZone: "abc"[index % 3]! }),
        );
      }
      const endpoints = registry.usable("model");
      const counts = new Map(endpoints.map(({ key }) => [key, HELD]));
      const rng = new Rng(1);
      for (let node = 0; node < nodeCount; node += 1) {
        const loads = new LoadTracker({ clock });
        const cacheIndex = new PrefixCacheIndex({ clock });
        for (const { key, entry: { id } } of endpoints) {
          cacheIndex.applyPeerUpdates([{ partId: "t", endpoint: key }]);
          loads.speeds.record(key, id === "e4" ? 0.4 : 1);
        }
        loads.setPeerCounts(
          "other",
          new Map(endpoints.map(({ key }) => [key, HELD])),
        );
        const policy = new PrefixPolicy({
          loads,
          cacheIndex,
          availabilityZone: "abc"[node % 3]!,
          loadMultiple: 2,
          findEndpoint: (key) => registry.getByKey(key),
          random: () => rng.fraction(),
        });
        const { endpoint: { key } } = policy.select({
          service: "model",
          prompt: prompt("t"),
          serviceEndpoints: endpoints,
          candidates: endpoints,
        });
        counts.set(key, counts.get(key)! + 1);
      }
      const bound = 2 * (HELD + nodeCount / endpoints.length) + 3;
      expect(Math.max(...counts.values())).to.be.at.most(bound);
    });
  }

  it("chooses by load alone as before where no pace is reported", () => {
    const digests = FLEETS.map((nodes) => {
      const { choices } = playUneven({
        nodes,
        pattern: mixture,
        tellsPace: false,
        hotShare: 0.3,
      });
      return createHash("sha256").update(choices.join()).digest("hex")
        .slice(0, 16);
    });
    expect(digests).to.deep.equal([
      "b49440f68936d6b9",
      "7040091c22fd9abe",
      "06883502f9b6a5a0",
    ]);
  });
});

describe("chooseSpread", () => {
  const rng = new Rng(1);
  const random = () => rng.fraction();
  const choose = (
    costs: number[],
    { near = () => true, count = 9_500 }: {
      near?: (index: number) => boolean;
      count?: number;
    } = {},
  ) => {
    const shares = costs.map(() => 0);
    const items = costs.map((_, index) => index);
    for (let run = 0; run < count; run += 1) {
      const chosen = chooseSpread(items, {
        cost: (index) => costs[index]!,
        isNear: near,
        farFactor: 1.25,
        isAlone: false,
        random,
      });
      shares[chosen!]! += 1 / count;
    }
    return shares;
  };

  it("spreads many who see one item that is twice as good", () => {
    const costs = Array.from({ length: 63 }, (_, index) => index ? 2 : 1);
    expect(Math.max(...choose(costs))).to.be.below(2.4 / 63);
  });

  it("avoids the worse of two in proportion to how much worse it is", () => {
    expect(choose([1, 1])[0]).to.be.within(0.47, 0.53);
    expect(choose([1, 1.1])[0]).to.be.within(0.63, 0.73);
    expect(choose([1, 2.5])[0]).to.be.above(0.99);
  });

  it("prefers near items unless others are clearly better", () => {
    const near = (index: number) => index === 0;
    expect(choose([1, 1], { near })[0]).to.be.closeTo(1, 1e-9);
    expect(choose([1.2, 1], { near })[0]).to.be.closeTo(1, 1e-9);
    expect(choose([1.3, 1], { near })[0]).to.equal(0);
  });

  it("chooses nothing among no items", () => {
    expect(chooseSpread([], {
      cost: () => 1,
      isNear: () => true,
      farFactor: 1,
      isAlone: false,
      random,
    })).to.equal(undefined);
  });
});
