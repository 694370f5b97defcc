import { initHashing } from "@limpetshed/hashing";
import { expect } from "chai";
import { before, describe, it } from "mocha";
import { SimulatedFleet } from "./support/simulated_fleet.ts";

const BOUND_MS = 4_000;
const SETTLE_MS = 6_000;
const MEASURED_MS = 6_000;
/** As the endpoints of a large deployment renew their entries. */
const RENEWAL_INTERVAL_MS = 1_200;
const ENDPOINTS = 70;
const ENDPOINT_BYTES = 400;
/** Calls for changes that a node makes, whatever the fleet and its endpoints. */
const MAX_CALLS_PER_S = 10;

async function renewEntries(fleet: SimulatedFleet, durationMs: number) {
  const stepMs = RENEWAL_INTERVAL_MS / ENDPOINTS;
  const endMs = fleet.clock.monotonicMs() + durationMs;
  for (let index = 0; fleet.clock.monotonicMs() < endMs; index += 1) {
    const key = `servers/e${index % ENDPOINTS}`;
    fleet.store.put(key, { bytes: ENDPOINT_BYTES });
    await fleet.clock.advance(stepMs);
  }
}

// Endpoints renew their entries all the time, and each renewal is a change: a node
// that asked again at once made a call for each, and one that always asked the most
// recent peer opened a connection for each.
describe("a fleet whose endpoints renew their entries", () => {
  before(() => initHashing());

  for (
    const { nodes, zones } of [
      { nodes: 5, zones: 3 },
      { nodes: 30, zones: 3 },
      { nodes: 78, zones: 5 },
    ]
  ) {
    it(`keeps to few calls and one parent each with ${nodes} nodes`, async () => {
      const fleet = new SimulatedFleet({
        nodes,
        zones,
        linkMbps: 24,
        boundMs: BOUND_MS,
        seed: 1,
      });
      fleet.store.put("op/config", { bytes: 60_000 });
      await renewEntries(fleet, SETTLE_MS);
      const storeCalls = fleet.store.calls;
      const all = [...fleet.nodes.values()];
      all.forEach(({ calledPeers }) => calledPeers.splice(0));
      await renewEntries(fleet, MEASURED_MS);
      const maxCalls = MAX_CALLS_PER_S * MEASURED_MS / 1_000;
      expect(fleet.store.calls - storeCalls).to.be.at.most(
        Math.max(2, zones) * maxCalls,
      );
      const peerCalls = all.map(({ calledPeers }) => calledPeers.length);
      expect(Math.max(...peerCalls)).to.be.at.most(maxCalls);
      const parents = all.map(({ calledPeers }) => new Set(calledPeers).size);
      expect(Math.max(...parents)).to.be.at.most(1);
      const delays = fleet.learnt.map(({ delayMs }) => delayMs);
      expect(Math.max(...delays)).to.be.below(BOUND_MS);
      await fleet.close();
    }).timeout(60_000);
  }
});
