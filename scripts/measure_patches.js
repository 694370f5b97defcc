// Measures the time from submitting a configuration patch until it is accepted
// and until all 5 nodes have applied it, with and without a store delay of
// 500 ms. Usage:
//   npm run build && node scripts/measure_patches.js [PATCHES]
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { performance } from "node:perf_hooks";
import process from "node:process";
import {
  Deployment,
  nodeAddresses,
  startNodes,
} from "../packages/cli/dist/src/index.js";

const NODE_COUNT = 5;
const [patches = 20] = process.argv.slice(2).map(Number);
const directory = mkdtempSync(join(tmpdir(), "limpetshed-patches-"));
const deployment = new Deployment({ layout: "brodeline", seed: 1 });
await deployment.start();
const nodes = nodeAddresses(NODE_COUNT, {
  portBase: 24_700,
  zones: deployment.layout.availabilityZones,
});
const runningNodes = await startNodes({
  deployment,
  directory,
  nodes,
  peerKey: "p",
  operatorKey: "o",
  adjustSettings: (settings) => {
    settings.platform.store_calls_per_second = 100;
  },
});
let version = 0;

async function submitPatch(patch) {
  const startedMs = performance.now();
  const { node } = runningNodes[version % NODE_COUNT];
  await node.configRepository.patch({
    expectedVersion: version,
    id: `p${version}`,
    author: "measure",
    patch,
  });
  version += 1;
  const accepted = performance.now() - startedMs;
  while (
    !runningNodes.every((running) =>
      running.node.configRepository.snapshot.version >= version
    )
  ) {
    await new Promise((resolve) => setTimeout(resolve, 1));
  }
  return { accepted, everywhere: performance.now() - startedMs };
}

const quantile = (values, fraction) =>
  [...values].sort((a, b) => a - b)[Math.floor(fraction * (values.length - 1))];

await submitPatch(deployment.firstConfig({ members: [], budget: 1_000 }));
for (const delayMs of [0, 500]) {
  deployment.store.faults.delayMs = delayMs;
  const durations = [];
  for (let sent = 0; sent < patches; sent += 1) {
    durations.push(
      await submitPatch({ budget: { tokens_per_second: 1_000 + version } }),
    );
  }
  for (const name of ["accepted", "everywhere"]) {
    const values = durations.map((duration) => duration[name]);
    console.log(
      `store answers after ${delayMs} ms, ${name}:`,
      `p50 ${quantile(values, 0.5).toFixed(0)} ms,`,
      `max ${Math.max(...values).toFixed(0)} ms`,
    );
  }
}
await Promise.all(runningNodes.map((running) => running.stop()));
await deployment.close();
rmSync(directory, { recursive: true });
process.exit(0);
