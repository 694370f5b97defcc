import { expect } from "chai";
import { describe, it } from "mocha";
import { hashingReady } from "./fixtures.ts";
import {
  LIMITS,
  RolloutFleet,
  type RolloutFleetOptions,
} from "./support/rollout_fleet.ts";

const DURATION_S = 20;

type Answer = RolloutFleetOptions["answer"];

const GOOD: Answer = ({ normal }) => normal;

/** Ways in which a version is bad. */
const BAD: Record<string, Answer> = {
  "at once": ({ isTarget, normal, random }) =>
    isTarget ? { ...normal, isFailed: random() < 0.4 } : normal,
  "after 5 s": ({ isTarget, sinceS, normal, random }) =>
    isTarget && sinceS > 5 ? { ...normal, isFailed: random() < 0.4 } : normal,
  "on one route": ({ isTarget, route, normal, random }) =>
    isTarget && route === "label"
      ? { ...normal, isFailed: random() < 0.4 }
      : normal,
  "4 times slower": ({ isTarget, normal }) =>
    isTarget ? { ...normal, durationMs: 4 * normal.durationMs } : normal,
  "slow in part": ({ isTarget, normal, random }) =>
    isTarget && random() < 0.4
      ? { ...normal, durationMs: 5 * normal.durationMs }
      : normal,
};

/** Trouble that isn't the target's. */
const COMMON: Record<string, Answer> = {
  "no trouble": GOOD,
  "failures of both versions": ({ sinceS, normal, random }) =>
    sinceS > 3 && sinceS < 8 ? { ...normal, isFailed: random() < 0.3 } : normal,
  "both versions slower": ({ sinceS, normal }) =>
    sinceS > 4 ? { ...normal, durationMs: 5 * normal.durationMs } : normal,
  "one endpoint of the target in trouble": (
    { isTarget, index, normal, random },
  ) =>
    isTarget && index === 0 ? { ...normal, isFailed: random() < 0.5 } : normal,
  "two of the canary's endpoints in trouble": (
    { isTarget, index, normal, random },
  ) =>
    isTarget && (index === 0 || index === 2)
      ? { ...normal, isFailed: random() < 0.5 }
      : normal,
  "caches that are empty": ({ isTarget, normal }) =>
    isTarget ? { ...normal, durationMs: 1.7 * normal.durationMs } : normal,
};

function expectBounded(fleet: RolloutFleet): void {
  expect(fleet.exposed).to.be.at.most(
    LIMITS.share * fleet.requests + LIMITS.slack,
  );
  expect(fleet.lastExposedMs - fleet.fiftiethBadMs).to.be.at.most(5_000);
}

describe("VersionRollouts", () => {
  before(() => hashingReady);

  for (const nodes of [4, 32]) {
    for (const [title, answer] of Object.entries(BAD)) {
      it(`goes back from a version that is bad ${title}, ${nodes} nodes`, async () => {
        const fleet = new RolloutFleet({ nodes, answer });
        await fleet.run(1);
        fleet.orderVersion();
        await fleet.run(DURATION_S);
        expect(fleet.writes).to.deep.equal(["running", "rolled_back"]);
        expectBounded(fleet);
      });
    }

    for (const [title, answer] of Object.entries(COMMON)) {
      it(`completes a good version: ${title}, ${nodes} nodes`, async () => {
        const fleet = new RolloutFleet({ nodes, answer });
        await fleet.run(1);
        fleet.orderVersion();
        await fleet.run(DURATION_S);
        expect(fleet.writes).to.deep.equal(["running", "completed"]);
        expect(fleet.cut).to.equal(0);
      });
    }
  }

  it("completes a good version with little traffic", async () => {
    const fleet = new RolloutFleet({
      nodes: 32,
      requestsPerS: 1,
      answer: GOOD,
    });
    fleet.orderVersion();
    await fleet.run(DURATION_S);
    expect(fleet.writes).to.deep.equal(["running", "completed"]);
  });

  it("finds a bad version at 300 nodes", async () => {
    const fleet = new RolloutFleet({
      nodes: 300,
      requestsPerS: 1_200,
      answer: BAD["at once"]!,
    });
    fleet.orderVersion();
    await fleet.run(6);
    expect(fleet.writes).to.deep.equal(["running", "rolled_back"]);
    expectBounded(fleet);
  });

  it("keeps the bound while the store is away and nodes don't hear each other", async () => {
    const fleet = new RolloutFleet({ nodes: 8, answer: BAD["after 5 s"]! });
    fleet.isStoreAway = true;
    fleet.lostReports = 1;
    fleet.orderVersion();
    await fleet.run(15);
    expect(fleet.writes).to.deep.equal([]);
    expect(fleet.exposed).to.be.at.most(
      LIMITS.share * fleet.requests + LIMITS.slack,
    );
    fleet.isStoreAway = false;
    fleet.lostReports = 0;
    await fleet.run(5);
    expect(fleet.status?.state).to.equal("rolled_back");
    expectBounded(fleet);
  });

  it("goes back though the nodes that held the evidence died", async () => {
    const fleet = new RolloutFleet({ nodes: 8, answer: BAD["at once"]! });
    fleet.isStoreAway = true;
    fleet.orderVersion();
    await fleet.run(2);
    const { exposed } = fleet;
    fleet.nodes.slice(0, 7).forEach((_, place) => fleet.restart(place));
    fleet.isStoreAway = false;
    await fleet.run(3);
    expect(fleet.status?.state).to.equal("rolled_back");
    expect(fleet.exposed).to.equal(exposed);
  });

  it("keeps the bound when all nodes start anew", async () => {
    const fleet = new RolloutFleet({ nodes: 8, answer: BAD["after 5 s"]! });
    fleet.orderVersion();
    await fleet.run(4);
    fleet.nodes.forEach((_, place) => fleet.restart(place));
    await fleet.run(14);
    expect(fleet.writes).to.deep.equal(["running", "rolled_back"]);
    expectBounded(fleet);
  });

  it("writes each state once though most answers of the store are lost", async () => {
    const fleet = new RolloutFleet({ nodes: 32, answer: GOOD });
    fleet.lostAnswers = 0.9;
    fleet.orderVersion();
    await fleet.run(DURATION_S);
    expect(fleet.writes).to.deep.equal(["running", "completed"]);
  });

  it("starts over for another order, and not with the version found bad", async () => {
    let isSound = false;
    const fleet = new RolloutFleet({
      nodes: 4,
      answer: (query) => isSound ? query.normal : BAD["at once"]!(query),
    });
    fleet.orderVersion("v2");
    await fleet.run(5);
    expect(fleet.status?.state).to.equal("rolled_back");
    isSound = true;
    fleet.orderVersion("v3");
    await fleet.run(DURATION_S);
    expect(fleet.status?.state).to.equal("completed");
    expect(fleet.sentByVersion.get("v2")).to.be.at.most(100);
    expect(fleet.sentByVersion.get("v3")).to.be.above(1_000);
  });

  it("sends retries to the old version, and streams to their own", async () => {
    const fleet = new RolloutFleet({ nodes: 1, answer: GOOD });
    fleet.orderVersion();
    await fleet.run(2);
    const { rollouts } = fleet.nodes[0]!;
    const isAllowed = (
      version: string,
      request: { version: string | undefined; isRetry: boolean },
    ) =>
      rollouts.filters({ service: "model", ...request })
        .some((filter) => filter?.(fleet.endpointOf(version)) ?? true);
    const retry = { version: undefined, isRetry: true };
    expect(isAllowed("v1", retry)).to.equal(true);
    expect(isAllowed("v2", retry)).to.equal(false);
    for (const version of ["v1", "v2"]) {
      expect(isAllowed(version, { version, isRetry: true })).to.equal(true);
    }
  });

  it("lets all requests pass without an order", () => {
    const { rollouts } = new RolloutFleet({ nodes: 1, answer: GOOD }).nodes[0]!;
    expect(rollouts.isIdle).to.equal(true);
    expect(rollouts.filters({
      service: "model",
      version: undefined,
      isRetry: false,
    })).to.deep.equal([undefined]);
  });
});
