import { ManualClock } from "@limpetshed/base";
import { expect } from "chai";
import { before, describe, it } from "mocha";
import { AccountLoads } from "../src/account_loads.ts";
import { LeastLoadedPolicy } from "../src/baseline_policies.ts";
import { BrittleEndpoints } from "../src/brittle_endpoints.ts";
import { ColdStartLimiter } from "../src/cold_start_limiter.ts";
import type { ChoiceRequest } from "../src/endpoint_choice.ts";
import { EndpointLimiter } from "../src/endpoint_limiter.ts";
import { EndpointRests } from "../src/endpoint_rests.ts";
import { EndpointRegistry } from "../src/endpoint_registry.ts";
import { LoadTracker } from "../src/load_tracker.ts";
import { OverloadGuard } from "../src/overload_guard.ts";
import { ServiceLatency } from "../src/service_latency.ts";
import { ServiceVersions } from "../src/service_versions.ts";
import { OutlierDetector } from "../src/outlier_detector.ts";
import { GatedChooser, VersionGate } from "../src/version_gate.ts";
import type { EndpointFilter } from "../src/version_rollout.ts";
import { entry, hashingReady, spec } from "./fixtures.ts";

/** Applies the same filters to all requests. */
class FixedGate extends VersionGate {
  filterList: readonly (EndpointFilter | undefined)[] = [undefined];
  readonly sent: string[] = [];

  override filters() {
    return this.filterList;
  }

  override recordSent({ entry: { id } }: { entry: { id: string } }): void {
    this.sent.push(id);
  }
}

function only(id: string): EndpointFilter {
  return ({ entry }) => entry.id === id;
}

const SLOTS = 4;
const MEAN_DURATION_MS = 1_000;

/** Creates a chooser over endpoints with the given loads, by id; requests take a
 * second each. */
function setUp(
  loadById: Record<string, number>,
  limitById: Record<string, number> = {},
) {
  const clock = new ManualClock();
  const registry = new EndpointRegistry({ clock });
  const loads = new LoadTracker({ clock });
  const latency = new ServiceLatency();
  latency.record("model", MEAN_DURATION_MS);
  for (const [id, load] of Object.entries(loadById)) {
    const { key } = registry.put(entry(id, { slots: SLOTS }));
    Array.from({ length: load }, () => loads.begin(key));
  }
  const endpointLimiter = new EndpointLimiter({
    clock,
    nodeId: "n1",
    nodeIds: () => ["n1"],
    peerTimeoutMs: () => 2_000,
  });
  for (const [id, requestsPerS] of Object.entries(limitById)) {
    const { key } = registry.get(id)!;
    endpointLimiter.limits.recordResponse(key, { requestsPerS, sentMs: 0 });
  }
  const brittleEndpoints = new BrittleEndpoints({
    clock,
    nodeId: "n1",
    nodeIds: () => ["n1"],
  });
  const rests = new EndpointRests({
    clock,
    nodeId: "n1",
    nodeIds: () => ["n1"],
  });
  const outlierDetector = new OutlierDetector({ clock });
  const gate = new FixedGate();
  const chooser = new GatedChooser({
    clock,
    gate,
    registry,
    policy: new LeastLoadedPolicy({ loads }),
    coldStartLimiter: new ColdStartLimiter({
      clock,
      limits: { rateMultiple: 1, slack: 0 },
      nodeId: "n1",
      nodeIds: () => ["n1"],
    }),
    endpointLimiter,
    rests,
    latency,
    nodeCount: () => 1,
    outlierDetector,
    versions: new ServiceVersions({ clock, registry }),
    brittleEndpoints,
    loads,
    overloadGuard: new OverloadGuard({
      loads,
      latency,
      accounts: new AccountLoads(),
    }),
    isConnectionLimitReached: () => false,
  });
  const choose = (
    overloadInput: Partial<ChoiceRequest["overloadInput"]> = {},
    tried: readonly string[] = [],
  ) => {
    const choice = chooser.choose({
      spec: spec(),
      prompt: undefined,
      tried: new Set(tried),
      overloadInput: {
        account: "a",
        priority: 0,
        targetLatencyMs: 300,
        leftMs: 5_000,
        ...overloadInput,
      },
    });
    return "refusal" in choice ? choice.refusal : choice.endpoint.entry.id;
  };
  const chooseSpare = (tried: readonly string[] = []) =>
    chooser.chooseSpare({
      spec: spec(),
      prompt: undefined,
      tried: new Set(tried),
      overloadInput: {
        account: "a",
        priority: 0,
        targetLatencyMs: 300,
        leftMs: 5_000,
      },
    })?.endpoint.entry.id;
  return {
    choose,
    chooseSpare,
    endpointLimiter,
    gate,
    outlierDetector,
    rests,
  };
}

describe("EndpointChooser for a second send", () => {
  before(() => hashingReady);

  it("chooses another endpoint with a free slot", () => {
    const { chooseSpare } = setUp({ e1: 0, e2: 3, e3: 4 });
    expect(chooseSpare(["e1/1"])).to.equal("e2");
  });

  it("chooses none that is full, though a retry would wait there", () => {
    const { choose, chooseSpare } = setUp({ e1: 0, e2: 4 });
    expect(choose({}, ["e1/1"])).to.equal("e2");
    expect(chooseSpare(["e1/1"])).to.equal(undefined);
  });

  it("chooses none that is an outlier, rests, or has no request left", () => {
    const { chooseSpare, outlierDetector, rests } = setUp(
      { e1: 0, e2: 0, e3: 0, e4: 0 },
      { e4: 0 },
    );
    outlierDetector.recordConnectionFailure("e2/1");
    rests.recordNamed("e3/1", 3_000);
    expect(chooseSpare(["e1/1"])).to.equal(undefined);
    expect(chooseSpare()).to.equal("e1");
  });
});

describe("EndpointChooser under overload", () => {
  before(() => hashingReady);

  it("chooses an endpoint with a free slot", () => {
    const { choose } = setUp({ e1: 4, e2: 3 });
    expect(choose()).to.equal("e2");
  });

  it("lets urgent requests wait longer than less urgent ones", () => {
    // Four slots of a second each free one every 250 ms.
    const { choose } = setUp({ e1: 4, e2: 4 });
    expect(choose({ priority: 0, targetLatencyMs: 400 })).to.equal("e1");
    expect(choose({ priority: 2, targetLatencyMs: 400 })).to.equal(
      "overloaded",
    );
  });

  it("refuses as hopeless a request that would wait past its deadline", () => {
    const { choose } = setUp({ e1: 12, e2: 12 });
    expect(choose()).to.equal("overloaded");
    expect(choose({ leftMs: 700 })).to.equal("hopeless");
  });

  it("does not shed a request that was already sent to an endpoint", () => {
    const { choose } = setUp({ e1: 12, e2: 12 });
    expect(choose({}, ["e1/1"])).to.equal("e2");
  });

  it("sheds nothing for routes without a target latency", () => {
    const { choose } = setUp({ e1: 12, e2: 12 });
    expect(choose({ targetLatencyMs: Number.POSITIVE_INFINITY })).to.equal(
      "e1",
    );
  });
});

describe("EndpointChooser before endpoints with limits", () => {
  before(() => hashingReady);

  it("leaves out an endpoint that has no request left, though it has slots", () => {
    const { choose } = setUp({ e1: 0, e2: 2 }, { e1: 0 });
    for (let index = 0; index < 20; index += 1) {
      expect(choose()).to.equal("e2");
    }
  });

  it("does not take the free slots of one at its limit for free", () => {
    const { choose } = setUp({ e1: 0, e2: 40 }, { e1: 0 });
    expect(choose({ priority: 2 })).to.equal("overloaded");
  });

  it("uses what a limit allows, then the others", () => {
    const { choose } = setUp({ e1: 0, e2: 3 }, { e1: 1 });
    const chosen = Array.from({ length: 10 }, () => choose());
    expect(chosen.filter((id) => id === "e1").length).to.equal(4);
    expect(chosen.filter((id) => id === "e2").length).to.equal(6);
  });

  it("refuses if all are at their limits, the urgent requests last", () => {
    const { choose } = setUp({ e1: 0, e2: 0 }, { e1: 8, e2: 8 });
    const servedBefore = (priority: number) => {
      let served = 0;
      while (choose({ priority }) !== "endpoint_limit") {
        served += 1;
      }
      return served;
    };
    const served = [2, 1, 0].map(servedBefore);
    expect(Math.min(...served)).to.be.above(0);
    expect(choose({ priority: 0 })).to.equal("endpoint_limit");
  });

  // Loans that nobody needed took most of the traffic between nodes.
  it("asks other nodes for a share only if a request is refused", () => {
    const free = setUp({ e1: 0, e2: 0 }, { e1: 0 });
    free.choose();
    expect(free.endpointLimiter.needs()).to.deep.equal([]);
    const full = setUp({ e1: 0, e2: 40, e3: 0 }, { e1: 0, e3: 0 });
    full.choose();
    expect(full.endpointLimiter.needs().length).to.equal(1);
    full.choose();
    expect(full.endpointLimiter.needs().length).to.equal(2);
  });

  it("refuses a retry too if no endpoint has a request left", () => {
    const { choose } = setUp({ e1: 0, e2: 0 }, { e1: 0, e2: 0 });
    expect(choose({}, ["e1/1"])).to.equal("endpoint_limit");
  });
});

describe("GatedChooser", () => {
  before(() => hashingReady);

  it("takes the first filter that leaves an endpoint with room", () => {
    const { choose, gate } = setUp({ e1: 0, e2: 0, e3: 0 }, { e2: 0 });
    gate.filterList = [only("e2"), only("e3")];
    expect(choose()).to.equal("e3");
    gate.filterList = [only("e1"), only("e3")];
    expect(choose()).to.equal("e1");
    gate.filterList = [only("e2")];
    expect(choose()).to.equal("endpoint_limit");
    gate.filterList = [only("e9")];
    expect(choose()).to.equal("none_in_service");
    expect(gate.sent).to.deep.equal(["e3", "e1"]);
  });

  it("applies them to a second send, and counts it", () => {
    const { chooseSpare, gate } = setUp({ e1: 0, e2: 0, e3: 0 });
    gate.filterList = [only("e9"), only("e3")];
    expect(chooseSpare()).to.equal("e3");
    gate.filterList = [only("e9")];
    expect(chooseSpare()).to.equal(undefined);
    expect(gate.sent).to.deep.equal(["e3"]);
  });
});
