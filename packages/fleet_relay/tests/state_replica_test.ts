import { initHashing } from "@limpetshed/hashing";
import { expect } from "chai";
import { before, describe, it } from "mocha";
import { SimulatedFleet } from "./support/simulated_fleet.ts";

const BOUND_MS = 2_000;

async function settledFleet(nodes: number): Promise<SimulatedFleet> {
  const fleet = new SimulatedFleet({
    nodes,
    zones: 1,
    linkMbps: 10,
    boundMs: BOUND_MS,
    seed: 1,
  });
  fleet.store.put("servers/e1", { bytes: 400 });
  fleet.store.put("op/config", { bytes: 400 });
  fleet.store.put("limpetshed/n", { bytes: 400 });
  await fleet.clock.advance(3_000);
  return fleet;
}

describe("StateReplica", () => {
  before(() => initHashing());

  // An endpoint whose entry was removed within 2 s of one failed call stayed in
  // use for the rest of these 2 s, as if its entry had lapsed in an outage.
  it("does not take a failed call for an outage of the store", async () => {
    const fleet = await settledFleet(1);
    const [node] = fleet.nodes.values();
    node!.outcomes = ["swallowed", "refused"];
    await fleet.clock.advance(6_000);
    expect(node!.outcomes).to.deep.equal([]);
    expect(node!.replica.lastOutageEndMs).to.equal(Number.NEGATIVE_INFINITY);
    await fleet.close();
  });

  it("notices an outage that only the nodes it follows saw", async () => {
    const fleet = await settledFleet(3);
    for (const node of fleet.nodes.values()) {
      node.outcomes = Array.from({ length: 40 }, () => "refused" as const);
    }
    await fleet.clock.advance(6_000);
    const endMs = fleet.clock.monotonicMs();
    for (const node of fleet.nodes.values()) {
      node.outcomes = [];
    }
    await fleet.clock.advance(2_000);
    for (const { replica } of fleet.nodes.values()) {
      expect(replica.lastOutageEndMs).to.be.within(
        endMs - 3_000,
        endMs + 2_000,
      );
    }
    await fleet.close();
  });

  // Nodes whose peers did not pass on changes in time kept sending requests to
  // endpoints that had said that they leave.
  it("reads the store without being a watcher if its state is not confirmed", async () => {
    const fleet = new SimulatedFleet({
      nodes: 6,
      zones: 1,
      linkMbps: 10,
      peerMbps: 0.001,
      boundMs: BOUND_MS,
      seed: 1,
    });
    fleet.store.put("servers/e1", { bytes: 400 });
    await fleet.clock.advance(3_000);
    const callsBefore = fleet.store.calls;
    fleet.learnt.length = 0;
    fleet.store.put("servers/e1", { bytes: 400 });
    await fleet.clock.advance(BOUND_MS);
    const followers = [...fleet.nodes.values()].filter(({ replica }) =>
      !replica.sourceSelector.isWatcher
    );
    expect(followers.length).to.be.above(0);
    for (const { id } of followers) {
      expect(fleet.learnt.map(({ node }) => node)).to.include(id);
    }
    expect(fleet.store.calls).to.be.above(callsBefore);
    await fleet.close();
  });
});
