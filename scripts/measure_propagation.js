// Measures how long changes of shared state take to reach all nodes, in a
// simulation with a driven clock. Usage:
//   npm run build && node scripts/measure_propagation.js NODES ZONES MBPS [SEED] [CHANGES]
import process from "node:process";
import { initHashing } from "../packages/hashing/dist/src/index.js";
import { SimulatedFleet } from "../packages/fleet_relay/dist/tests/support/simulated_fleet.js";

const [nodes = 30, zones = 3, linkMbps = 24, seed = 1, changes = 12] = process
  .argv.slice(2).map(Number);
const BOUND_MS = 3_000;
const SETTLE_MS = 3_000;
/** Bytes of an endpoint's entry, and of configurations of 240 and 1,460 routes, in
 * the store's encoding. */
const SIZES = [["servers/e1", 400], ["op/config", 66_000], [
  "op/config",
  400_000,
]];
/** What happens to the calls to the store that each node makes next, and the speed
 * of the links between nodes. */
const SCENARIOS = [
  { name: "calm", outcomes: [], peerMbps: linkMbps },
  { name: "slow peers", outcomes: [], peerMbps: 0.2 },
  {
    name: "slow peers, a call swallowed",
    outcomes: ["swallowed"],
    peerMbps: 0.2,
  },
  {
    name: "slow peers, two calls refused",
    outcomes: ["refused", "refused"],
    peerMbps: 0.2,
  },
];

async function measure([key, bytes], { outcomes, peerMbps }) {
  const fleet = new SimulatedFleet({
    nodes,
    zones,
    linkMbps,
    peerMbps,
    boundMs: BOUND_MS,
    seed,
  });
  fleet.store.put(key, { bytes });
  await fleet.clock.advance(SETTLE_MS);
  const known = fleet.learnt.length;
  for (let index = 0; index < changes; index += 1) {
    for (const node of fleet.nodes.values()) {
      node.outcomes = [...outcomes];
    }
    fleet.store.put(key, { bytes });
    await fleet.clock.advance(4 * BOUND_MS + 137 * index);
  }
  await fleet.close();
  const delays = fleet.learnt.slice(known).map(({ delayMs }) => delayMs)
    .sort((a, b) => a - b);
  const at = (share) =>
    Math.round(delays[Math.floor(share * (delays.length - 1))]);
  const missing = changes * nodes - delays.length;
  return { median: at(0.5), p999: at(0.999), most: at(1), missing };
}

await initHashing();
for (const scenario of SCENARIOS) {
  for (const size of SIZES) {
    const { median, p999, most, missing } = await measure(size, scenario);
    console.log(
      `${nodes} nodes, ${scenario.name}, ${size[1]} B: ` +
        `median ${median}, 99.9% ${p999}, most ${most} ms, ${missing} missing`,
    );
  }
}
