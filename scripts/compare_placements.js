// Simulates each placement policy under each kind of churn, all with the same
// seeds, and prints the means over the seeds. Usage:
//   npm run build && node scripts/compare_placements.js [ZONES] [SEED ...]
import process from "node:process";
import { measurePolicy } from "../packages/node/dist/tests/support/measure_policy.js";

const POLICIES = ["owner", "rendezvous", "two_choices", "bounded_local"];
const CHURNS = ["calm", "endpoints", "zone"];
const [zones = 3, ...seeds] = process.argv.slice(2).map(Number);

function mean(values) {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

for (const churn of CHURNS) {
  for (const policy of POLICIES) {
    const runs = [];
    for (const seed of seeds.length > 0 ? seeds : [1, 2, 3]) {
      runs.push(await measurePolicy(policy, churn, { seed, zones }));
    }
    const meanOf = (read) => mean(runs.map(read));
    console.log([
      churn,
      policy,
      `ok ${meanOf((r) => r.ok / r.sent).toFixed(3)}`,
      `reuse ${meanOf((r) => r.cacheReuse).toFixed(3)}`,
      `oracle ${meanOf((r) => r.oracleReuse).toFixed(3)}`,
      `skew ${meanOf((r) => r.skewMean).toFixed(2)}`,
      `p99 ${meanOf((r) => r.skewP99).toFixed(2)}`,
      `first ${meanOf((r) => r.firstTokenP50Ms).toFixed(0)}`,
      `p99 ${meanOf((r) => r.firstTokenP99Ms).toFixed(0)}`,
      `cold ${meanOf((r) => r.coldOverloads).toFixed(1)}`,
      `zone ${meanOf((r) => r.startsInZoneOut).toFixed(1)}`,
      `bytes ${meanOf((r) => r.peerBytes).toFixed(0)}`,
      `ok/s ${
        [0, 1, 2].map((i) => meanOf((r) => r.okPerSecond[i]).toFixed(1))
      }`,
    ].join(" | "));
  }
}
process.exit(0);
