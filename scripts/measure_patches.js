// Measures the time from submitting a patch to its being in force on 5 nodes,
// with the store as it is and slow. Usage:
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

const NODES = 5;
const [patches = 20] = process.argv.slice(2).map(Number);
const directory = mkdtempSync(join(tmpdir(), "limpetshed-patches-"));
const deployment = new Deployment({ layout: "brodeline", seed: 1 });
await deployment.start();
const nodes = nodeAddresses(NODES, {
  portBase: 24_700,
  zones: deployment.layout.availabilityZones,
});
const running = await startNodes({
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

async function patch(data) {
  const started = performance.now();
  const { node } = running[version % NODES];
  await node.configRepository.patch({
    againstVersion: version,
    id: `p${version}`,
    author: "measure",
    patch: data,
  });
  version += 1;
  const accepted = performance.now() - started;
  while (
    !running.every((r) => r.node.configRepository.snapshot.version >= version)
  ) {
    await new Promise((resolve) => setTimeout(resolve, 1));
  }
  return { accepted, everywhere: performance.now() - started };
}

const at = (values, part) =>
  [...values].sort((a, b) => a - b)[Math.floor(part * (values.length - 1))];

await patch(deployment.firstConfig({ members: [], budget: 1_000 }));
for (const delayMs of [0, 500]) {
  deployment.store.faults.delayMs = delayMs;
  const times = [];
  for (let sent = 0; sent < patches; sent += 1) {
    times.push(await patch({ budget: { tokens_per_second: 1_000 + version } }));
  }
  for (const name of ["accepted", "everywhere"]) {
    const values = times.map((time) => time[name]);
    console.log(
      `store answers after ${delayMs} ms, ${name}:`,
      `p50 ${at(values, 0.5).toFixed(0)} ms,`,
      `max ${Math.max(...values).toFixed(0)} ms`,
    );
  }
}
await Promise.all(running.map((r) => r.stop()));
await deployment.close();
rmSync(directory, { recursive: true });
process.exit(0);
