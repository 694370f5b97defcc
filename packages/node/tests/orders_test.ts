import { expect } from "chai";
import { describe, it } from "mocha";
import { TestFleet } from "./support/test_fleet.ts";

const WANTED = { model: "brodeline", version: "2", adapters: ["towels"] };
const VALID_MS = 4_000;

function wanting(checksFencing: boolean, version = "2") {
  return {
    services: {
      chat: {
        checks_fencing: checksFencing,
        order_valid_ms: VALID_MS,
        wanted: { ...WANTED, version },
      },
    },
  };
}

function versions(fleet: TestFleet): string[] {
  return fleet.models().map((engine) => engine.loadReport(0).loaded.version);
}

describe("orders to endpoints", () => {
  it("bring every endpoint to the wanted state, two loads in 30 s", async () => {
    const fleet = await TestFleet.ready();
    await fleet.settle(fleet.patch("n1", 1, wanting(true)));
    await fleet.run(25_000);
    const early = versions(fleet).filter((version) => version === "2");
    expect(early).to.have.length(2);
    await fleet.run(90_000);
    expect(new Set(versions(fleet))).to.deep.equal(new Set(["2"]));
    await fleet.close();
  });

  it("carry numbers that never go down at an endpoint", async () => {
    const fleet = await TestFleet.ready({ models: 2 });
    await fleet.settle(fleet.patch("n1", 1, wanting(true)));
    await fleet.run(35_000);
    const owner = fleet.node("n1").node.owners.lookupOwners(fleet.region, "m1");
    fleet.kill(owner.owner!);
    await fleet.run(8_000);
    const [left] = fleet.nodes.keys();
    await fleet.settle(fleet.patch(left!, 2, wanting(true, "3")));
    await fleet.run(120_000);
    expect(new Set(versions(fleet))).to.deep.equal(new Set(["3"]));
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

  it("wait out the former holder where numbers are not checked", async () => {
    const fleet = await TestFleet.ready({
      models: 1,
      model: { checksFencing: false },
    });
    await fleet.settle(fleet.patch("n1", 1, wanting(false)));
    await fleet.run(10_000);
    expect(versions(fleet)).to.deep.equal(["2"]);
    const { owner } = fleet.node("n1").node.owners.lookupOwners(
      fleet.region,
      "m1",
    );
    const holder = fleet.node(owner!);
    holder.clock.pause();
    const pausedAtMs = fleet.clock.monotonicMs();
    await fleet.run(8_000);
    const other = [...fleet.nodes.keys()].find((id) => id !== owner)!;
    await fleet.settle(fleet.patch(other, 2, wanting(false, "3")));
    await fleet.until(() => versions(fleet)[0] === "3", 60_000);
    const tookMs = fleet.clock.monotonicMs() - pausedAtMs;
    expect(versions(fleet)).to.deep.equal(["3"]);
    expect(tookMs).to.be.above(8_000 + VALID_MS);
    holder.clock.resume();
    await fleet.run(60_000);
    expect(versions(fleet)).to.deep.equal(["3"]);
    await fleet.close();
  });

  it("are not given while the store is down", async () => {
    const fleet = await TestFleet.ready();
    await fleet.settle(fleet.patch("n1", 1, wanting(true)));
    for (const { store } of fleet.nodes.values()) {
      store.faults.down = true;
    }
    await fleet.run(20_000);
    const given = fleet.models().reduce(
      (sum, m) => sum + m.acceptedOrders.length,
      0,
    );
    expect(given).to.be.at.most(2);
    await fleet.close();
  });
});
