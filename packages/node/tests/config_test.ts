import { expect } from "chai";
import { describe, it } from "mocha";
import { RouterError } from "@limpetshed/errors";
import { TestFleet } from "./support/test_fleet.ts";

async function kindOf(work: Promise<unknown>): Promise<RouterError> {
  try {
    await work;
  } catch (err) {
    if (err instanceof RouterError) {
      return err;
    }
  }
  throw new Error("expected a refusal");
}

function versions(fleet: TestFleet): number[] {
  return [...fleet.nodes.values()].map(({ node }) =>
    node.configRepository.snapshot.version
  );
}

const OUT = { availability_zones: { z1: { state: "out" } } };

describe("the numbered configuration", () => {
  let fleet: TestFleet;

  beforeEach(async () => {
    fleet = await TestFleet.ready();
  });

  afterEach(async () => {
    await fleet.close();
  });

  it("is in force on every node within 5 s", async () => {
    await fleet.settle(fleet.patch("n3", 1, OUT));
    await fleet.run(5_000);
    expect(versions(fleet)).to.deep.equal([2, 2, 2, 2]);
  });

  it("refuses a patch against a stale version with the current one", async () => {
    await fleet.settle(fleet.patch("n1", 1, OUT));
    const err = await fleet.settle(kindOf(fleet.patch("n2", 1, {}, "late")));
    expect(err.kind).to.equal("config_version_stale");
    expect(err.details["current_version"]).to.equal(2);
  });

  it("lets exactly one of several racing patches through", async () => {
    const race = ["n1", "n2", "n3", "n4"].map((node) =>
      fleet.patch(node, 1, OUT).then(() => "ok", () => "refused")
    );
    const results = await fleet.settle(Promise.all(race));
    expect(results.filter((result) => result === "ok")).to.have.length(1);
    await fleet.run(5_000);
    expect(versions(fleet)).to.deep.equal([2, 2, 2, 2]);
  });

  it("refuses whole what is not valid, naming each fault", async () => {
    const patch = {
      colour: "blue",
      members: {
        a: { share: -1 },
        b: { services: ["nowhere"] },
        c: { share: 99_000_000 },
      },
    };
    const err = await fleet.settle(kindOf(fleet.patch("n1", 1, patch)));
    expect(err.kind).to.equal("config_invalid");
    const faults = err.faults.join("\n");
    expect(faults).to.contain("colour: unknown key");
    expect(faults).to.contain("members.a.share");
    expect(faults).to.contain("members.b.services: no service nowhere");
    expect(faults).to.contain("the shares sum to");
    expect(versions(fleet)).to.deep.equal([1, 1, 1, 1]);
  });

  it("finds a patch whose answer was lost, and applies it once", async () => {
    const { faults } = fleet.node("n1").store;
    faults.choose = (call) => call === "write" ? "answer_lost" : "none";
    const version = await fleet.settle(fleet.patch("n1", 1, OUT, "p1"));
    expect(version).to.equal(2);
    faults.choose = () => "none";
    const again = await fleet.settle(fleet.patch("n2", 1, OUT, "p1"));
    expect(again).to.equal(2);
    await fleet.run(5_000);
    expect(versions(fleet)).to.deep.equal([2, 2, 2, 2]);
  });

  it("says so when the outcome cannot be told, and a repeat tells", async () => {
    const { faults } = fleet.node("n1").store;
    faults.choose = (call) => call === "write" ? "late_effect" : "none";
    const err = await fleet.settle(
      kindOf(fleet.patch("n1", 1, OUT, "p1")),
    );
    expect(err.kind).to.equal("config_outcome_unknown");
    expect(err.run).to.equal("may-have-run");
    faults.choose = () => "none";
    await fleet.run(2_000);
    expect(await fleet.settle(fleet.patch("n2", 1, OUT, "p1"))).to.equal(2);
  });

  it("never reverts on a node started while the store is down", async () => {
    await fleet.settle(fleet.patch("n1", 1, OUT));
    await fleet.run(3_000);
    for (const { store } of fleet.nodes.values()) {
      store.faults.down = true;
      store.breakWatches();
    }
    fleet.list("n5", "z1");
    await fleet.addNode("n5", "z1");
    fleet.node("n5").store.faults.down = true;
    await fleet.run(8_000);
    expect(fleet.node("n5").node.ready).to.equal(true);
    expect(fleet.node("n5").node.configRepository.snapshot.version).to.equal(2);
  });

  it("is not ready alone with the store down", async () => {
    const lonely = await TestFleet.make({ seed: 5 });
    lonely.list("x", "z1");
    await lonely.addNode("x", "z1");
    lonely.node("x").store.faults.down = true;
    await lonely.run(5_000);
    expect(lonely.node("x").node.ready).to.equal(false);
    await lonely.close();
  });
});
