import { expect } from "chai";
import { describe, it } from "mocha";
import { RouterError } from "@limpetshed/errors";
import { TestFleet } from "./support/test_fleet.ts";

async function errorOf(promise: Promise<unknown>): Promise<RouterError> {
  try {
    await promise;
  } catch (err) {
    if (err instanceof RouterError) {
      return err;
    }
  }
  throw new Error("expected a RouterError");
}

function versions(fleet: TestFleet): number[] {
  return [...fleet.nodes.values()].map(({ node }) =>
    node.configRepository.snapshot.version
  );
}

const ZONE_OUT = { availability_zones: { z1: { state: "out" } } };

describe("the versioned configuration", () => {
  let fleet: TestFleet;

  beforeEach(async () => {
    fleet = await TestFleet.ready();
  });

  afterEach(async () => {
    await fleet.close();
  });

  it("takes effect on every node within 5 s", async () => {
    await fleet.settle(fleet.patch("n3", 1, ZONE_OUT));
    await fleet.run(5_000);
    expect(versions(fleet)).to.deep.equal([2, 2, 2, 2]);
  });

  it("rejects a patch of a stale version and reports the current one", async () => {
    await fleet.settle(fleet.patch("n1", 1, ZONE_OUT));
    const err = await fleet.settle(errorOf(fleet.patch("n2", 1, {}, "late")));
    expect(err.kind).to.equal("config_version_stale");
    expect(err.details["current_version"]).to.equal(2);
  });

  it("accepts exactly one of several concurrent patches", async () => {
    const submissions = ["n1", "n2", "n3", "n4"].map((node) =>
      fleet.patch(node, 1, ZONE_OUT).then(() => "ok", () => "refused")
    );
    const results = await fleet.settle(Promise.all(submissions));
    expect(results.filter((result) => result === "ok")).to.have.length(1);
    await fleet.run(5_000);
    expect(versions(fleet)).to.deep.equal([2, 2, 2, 2]);
  });

  it("rejects an invalid patch as a whole and lists each fault", async () => {
    const patch = {
      colour: "blue",
      members: {
        a: { share: -1 },
        b: { services: ["nowhere"] },
        c: { share: 99_000_000 },
      },
    };
    const err = await fleet.settle(errorOf(fleet.patch("n1", 1, patch)));
    expect(err.kind).to.equal("config_invalid");
    const faults = err.faults.join("\n");
    expect(faults).to.contain("colour: unknown key");
    expect(faults).to.contain("members.a.share");
    expect(faults).to.contain("members.b.services: no service nowhere");
    expect(faults).to.contain("the shares sum to");
    expect(versions(fleet)).to.deep.equal([1, 1, 1, 1]);
  });

  it("applies a patch once if the store's response is lost", async () => {
    const { faults } = fleet.node("n1").store;
    faults.choose = (call) => call === "write" ? "answer_lost" : "none";
    const version = await fleet.settle(fleet.patch("n1", 1, ZONE_OUT, "p1"));
    expect(version).to.equal(2);
    faults.choose = () => "none";
    const retriedVersion = await fleet.settle(
      fleet.patch("n2", 1, ZONE_OUT, "p1"),
    );
    expect(retriedVersion).to.equal(2);
    await fleet.run(5_000);
    expect(versions(fleet)).to.deep.equal([2, 2, 2, 2]);
  });

  it("reports an unknown outcome, which a retry resolves", async () => {
    const { faults } = fleet.node("n1").store;
    faults.choose = (call) => call === "write" ? "late_effect" : "none";
    const err = await fleet.settle(
      errorOf(fleet.patch("n1", 1, ZONE_OUT, "p1")),
    );
    expect(err.kind).to.equal("config_outcome_unknown");
    expect(err.run).to.equal("may-have-run");
    faults.choose = () => "none";
    await fleet.run(2_000);
    expect(await fleet.settle(fleet.patch("n2", 1, ZONE_OUT, "p1"))).to.equal(
      2,
    );
  });

  it("does not revert on a node started while the store is down", async () => {
    await fleet.settle(fleet.patch("n1", 1, ZONE_OUT));
    await fleet.run(3_000);
    for (const { store } of fleet.nodes.values()) {
      store.faults.down = true;
      store.breakWatches();
    }
    fleet.listNode("n5", "z1");
    await fleet.addNode("n5", "z1");
    fleet.node("n5").store.faults.down = true;
    await fleet.run(8_000);
    expect(fleet.node("n5").node.ready).to.equal(true);
    expect(fleet.node("n5").node.configRepository.snapshot.version).to.equal(2);
  });

  it("leaves a single node not ready while the store is down", async () => {
    const single = await TestFleet.make({ seed: 5 });
    single.listNode("x", "z1");
    await single.addNode("x", "z1");
    single.node("x").store.faults.down = true;
    await single.run(5_000);
    expect(single.node("x").node.ready).to.equal(false);
    await single.close();
  });
});
