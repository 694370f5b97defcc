import { expect } from "chai";
import { describe, it } from "mocha";
import { TestFleet } from "./support/test_fleet.ts";

const WANTED_STATE = { model: "brodeline", version: "2", adapters: ["towels"] };
const ORDER_VALID_MS = 4_000;

/** Makes a patch that sets the wanted state of the `chat` endpoints. */
function wantedPatch(checksFencing: boolean, version = "2") {
  return {
    services: {
      chat: {
        checks_fencing: checksFencing,
        order_valid_ms: ORDER_VALID_MS,
        wanted: { ...WANTED_STATE, version },
      },
    },
  };
}

/** Returns the model version loaded by each endpoint. */
function loadedVersions(fleet: TestFleet): string[] {
  return fleet.models().map((engine) => engine.loadReport(0).loaded.version);
}

describe("orders to endpoints", () => {
  it("bring every endpoint to the wanted state, two per 30 s", async () => {
    const fleet = await TestFleet.ready();
    await fleet.settle(fleet.patch("n1", 1, wantedPatch(true)));
    await fleet.run(25_000);
    const early = loadedVersions(fleet).filter((version) => version === "2");
    expect(early).to.have.length(2);
    await fleet.run(90_000);
    expect(new Set(loadedVersions(fleet))).to.deep.equal(new Set(["2"]));
    await fleet.close();
  });

  it("carry fencing numbers that never decrease at an endpoint", async () => {
    const fleet = await TestFleet.ready({ models: 2 });
    await fleet.settle(fleet.patch("n1", 1, wantedPatch(true)));
    await fleet.run(35_000);
    const owners = fleet.node("n1").node.owners.lookupOwners(
      fleet.region,
      "m1",
    );
    fleet.kill(owners.owner!);
    await fleet.run(8_000);
    const [survivor] = fleet.nodes.keys();
    await fleet.settle(fleet.patch(survivor!, 2, wantedPatch(true, "3")));
    await fleet.run(120_000);
    expect(new Set(loadedVersions(fleet))).to.deep.equal(new Set(["3"]));
    for (const engine of fleet.models()) {
      const numbers = engine.acceptedOrders.map(({ fencingNumber }) =>
        fencingNumber
      );
      expect(numbers).to.deep.equal([...numbers].sort((a, b) => a - b));
    }
    expect(fleet.model("m1").acceptedOrders.at(-1)!.fencingNumber).to.be.above(
      1,
    );
    await fleet.close();
  });

  it("wait for earlier orders to expire if fencing is not checked", async () => {
    const fleet = await TestFleet.ready({
      models: 1,
      model: { checksFencing: false },
    });
    await fleet.settle(fleet.patch("n1", 1, wantedPatch(false)));
    await fleet.run(10_000);
    expect(loadedVersions(fleet)).to.deep.equal(["2"]);
    const { owner } = fleet.node("n1").node.owners.lookupOwners(
      fleet.region,
      "m1",
    );
    const pausedNode = fleet.node(owner!);
    pausedNode.clock.pause();
    const pausedAtMs = fleet.clock.monotonicMs();
    await fleet.run(8_000);
    const other = [...fleet.nodes.keys()].find((id) => id !== owner)!;
    await fleet.settle(fleet.patch(other, 2, wantedPatch(false, "3")));
    await fleet.runUntil(() => loadedVersions(fleet)[0] === "3", 60_000);
    const tookMs = fleet.clock.monotonicMs() - pausedAtMs;
    expect(loadedVersions(fleet)).to.deep.equal(["3"]);
    expect(tookMs).to.be.above(8_000 + ORDER_VALID_MS);
    pausedNode.clock.resume();
    await fleet.run(60_000);
    expect(loadedVersions(fleet)).to.deep.equal(["3"]);
    await fleet.close();
  });

  it("are not sent while the store is down", async () => {
    const fleet = await TestFleet.ready();
    await fleet.settle(fleet.patch("n1", 1, wantedPatch(true)));
    for (const { store } of fleet.nodes.values()) {
      store.faults.down = true;
    }
    await fleet.run(20_000);
    const sent = fleet.models().reduce(
      (sum, m) => sum + m.acceptedOrders.length,
      0,
    );
    expect(sent).to.be.at.most(2);
    await fleet.close();
  });
});
