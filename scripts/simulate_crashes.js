// Simulates fleets whose full endpoints crash under one prompt part or one
// repeated request, and prints the range of each figure over the seeds. Usage:
//   npm run build && node scripts/simulate_crashes.js [SEEDS] [FIRST_SEED]
import process from "node:process";
import { simulateCrashes } from "../packages/dispatch/dist/tests/support/crash_simulation.js";
import { initHashing } from "../packages/hashing/dist/src/index.js";

const [seedCount = 8, firstSeed = 1] = process.argv.slice(2).map(Number);
const FLEETS = {
  "4 nodes": {},
  "4 nodes, 30 in flight": { inFlight: 30 },
  "4 nodes, 3 of 10 datagrams lost": { datagramLoss: 0.3 },
  "4 nodes, restarts": { restartIntervalMs: 3_000 },
  "4 nodes, losses and restarts": {
    datagramLoss: 0.3,
    restartIntervalMs: 3_000,
  },
  "4 nodes, one takes most": { firstNodeShare: 0.8 },
  "4 nodes, one takes most, losses": {
    firstNodeShare: 0.8,
    datagramLoss: 0.3,
  },
  "4 nodes, power cuts": { powerCutIntervalMs: 6_000 },
  "4 nodes, 150 s, with trials": { durationMs: 150_000 },
  "20 nodes": { nodes: 20 },
  "100 nodes": { nodes: 100 },
  "100 nodes, losses and restarts": {
    nodes: 100,
    datagramLoss: 0.3,
    restartIntervalMs: 1_000,
  },
};

function range(values) {
  return `${Math.min(...values)} to ${Math.max(...values)}`;
}

await initHashing();
for (const [name, options] of Object.entries(FLEETS)) {
  for (const kind of ["part", "request"]) {
    const runs = [];
    for (let seed = firstSeed; seed < firstSeed + seedCount; seed += 1) {
      runs.push(await simulateCrashes({ kind, seed, ...options }));
    }
    const refused = runs.map((run) => 100 * run.refused / run.sound);
    console.log([
      name,
      `one ${kind}`,
      `crashes ${range(runs.map((run) => run.crashes))}`,
      `late sends ${range(runs.map((run) => run.lateSends))}`,
      `refused ${Math.max(...refused).toFixed(2)}%`,
    ].join(" | "));
  }
}
