import { ManualClock } from "@limpetshed/base";
import { Rng } from "@limpetshed/hashing";
import { expect } from "chai";
import { describe, it } from "mocha";
import { BrittleEndpoints } from "../src/brittle_endpoints.ts";
import { LoadTracker } from "../src/load_tracker.ts";

const SERVICE = "model";
const SLOTS = 16;
const ENDPOINTS = 12;
const REQUEST_MS = 1_000;
const EXCHANGE_MS = 200;
const STEP_MS = 10;
const PLAY_MS = 20_000;
/** Endpoints that may go down while their service is brittle. */
const MAX_FALLS = 2 + ENDPOINTS / 10;

interface PlayedNode {
  loads: LoadTracker;
  brittle: BrittleEndpoints;
}

/** Plays nodes that send `load` times as much as brittle endpoints can serve, and
 * that know of each other's requests only what they exchange. */
async function play(
  { nodes: nodeCount, rejectionsPerS, load, seed }: {
    nodes: number;
    rejectionsPerS: number;
    load: number;
    seed: number;
  },
): Promise<{ falls: number; served: number }> {
  const clock = new ManualClock();
  const rng = new Rng(seed);
  const ids = Array.from({ length: nodeCount }, (_, index) => `n${index}`);
  const nodes = ids.map((nodeId): PlayedNode => ({
    loads: new LoadTracker({ clock }),
    brittle: new BrittleEndpoints({ clock, nodeId, nodeIds: () => ids }),
  }));
  const keys = Array.from({ length: ENDPOINTS }, (_, index) => `e${index}`);
  const running = new Map(keys.map((key) => [key, 0]));
  const rejectedMs = new Map<string, number[]>(keys.map((key) => [key, []]));
  const requestsPerStep = load * SLOTS * ENDPOINTS / REQUEST_MS * STEP_MS;
  let falls = 0;
  let served = 0;
  nodes.forEach(({ brittle }) => brittle.recordNamed(SERVICE, rejectionsPerS));

  function send(node: PlayedNode): void {
    const allowed = keys.filter((key) =>
      !node.brittle.isBrittle(SERVICE) || node.brittle.allows(key, {
        slots: SLOTS,
        total: node.loads.totalInFlight(key),
        local: node.loads.localInFlight(key),
      })
    );
    const key = allowed.reduce<string | undefined>(
      (best, next) =>
        best === undefined ||
          node.loads.totalInFlight(next) < node.loads.totalInFlight(best)
          ? next
          : best,
      undefined,
    );
    if (key === undefined) {
      return;
    }
    node.brittle.recordNamed(SERVICE, rejectionsPerS);
    const now = clock.monotonicMs();
    if (running.get(key)! >= SLOTS) {
      node.brittle.recordRejection(SERVICE, key);
      const recent = rejectedMs.get(key)!.filter((ms) => now - ms < 1_000);
      recent.push(now);
      const hasFallen = recent.length > rejectionsPerS;
      falls += hasFallen ? 1 : 0;
      rejectedMs.set(key, hasFallen ? [] : recent);
      return;
    }
    served += 1;
    running.set(key, running.get(key)! + 1);
    node.loads.begin(key);
    clock.setTimer(REQUEST_MS * (0.5 + rng.fraction()), () => {
      running.set(key, running.get(key)! - 1);
      node.loads.end(key);
    });
  }

  function exchange(): void {
    nodes.forEach(({ loads }, from) =>
      nodes.forEach((to, index) => {
        if (index !== from) {
          to.loads.setPeerCounts(ids[from]!, loads.localCounts());
        }
      })
    );
  }

  let owed = 0;
  for (let atMs = 0; atMs < PLAY_MS; atMs += STEP_MS) {
    if (atMs % EXCHANGE_MS === 0) {
      exchange();
    }
    for (owed += requestsPerStep; owed >= 1; owed -= 1) {
      send(nodes[rng.int(nodeCount)]!);
    }
    await clock.advance(STEP_MS);
  }
  return { falls, served };
}

// Endpoints that said that they were brittle went down one after the other under a
// burst, as nodes had requests wait there.
describe("BrittleEndpoints under more load than they can serve", () => {
  for (
    const [nodes, rejectionsPerS] of [[1, 0], [4, 2], [5, 1], [30, 2]] as const
  ) {
    it(`stay up with ${nodes} nodes and ${rejectionsPerS} rejections`, async () => {
      const { falls, served } = await play({
        nodes,
        rejectionsPerS,
        load: 2,
        seed: 7,
      });
      expect(falls).to.be.at.most(MAX_FALLS);
      const capacity = SLOTS * ENDPOINTS * PLAY_MS / REQUEST_MS;
      expect(served).to.be.above(capacity / 2);
    }).timeout(60_000);
  }

  it("end after a silence", async () => {
    const clock = new ManualClock();
    const brittle = new BrittleEndpoints({
      clock,
      nodeId: "n0",
      nodeIds: () => ["n0"],
    });
    brittle.recordNamed(SERVICE, 1);
    expect(brittle.isBrittle(SERVICE)).to.equal(true);
    await clock.advance(3_100);
    expect(brittle.isBrittle(SERVICE)).to.equal(false);
  });
});
