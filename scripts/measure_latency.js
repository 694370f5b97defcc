// Measures what a node adds on loopback: the same requests, in turn, straight
// to an endpoint and through one node; then requests a second through the
// node. Usage: npm run build && node scripts/measure_latency.js [REQUESTS]
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { performance } from "node:perf_hooks";
import process from "node:process";
import {
  Deployment,
  memberKeys,
  nodeAddresses,
  startNodes,
} from "../packages/cli/dist/src/index.js";

const [requests = 300] = process.argv.slice(2).map(Number);
const directory = mkdtempSync(join(tmpdir(), "limpetshed-latency-"));
const deployment = new Deployment({ layout: "brodeline", seed: 1 });
await deployment.start();
const nodes = nodeAddresses(1, { portBase: 24_500, zones: ["sfax-1"] });
const [running] = await startNodes({
  deployment,
  directory,
  nodes,
  peerKey: "p",
  operatorKey: "o",
});
const members = memberKeys(1, 1);
await running.node.configRepository.patch({
  againstVersion: 0,
  id: "first",
  author: "measure",
  patch: deployment.firstConfig({ members, budget: 1e9 }),
});
const direct = running.node.endpointDirectory.live("monogram")[0].address;

let count = 0;
async function send(address, stream) {
  count += 1;
  const started = performance.now();
  const res = await fetch(`http://${address}/v1/chat/completions`, {
    method: "POST",
    headers: {
      authorization: `Bearer ${members[0].key}`,
      "content-type": "application/json",
      "x-request-id": `direct-${count}`,
      "x-limpetshed-priority": "share",
      "x-limpetshed-chat": "0",
    },
    body: JSON.stringify({
      model: "monogram",
      stream,
      max_tokens: 4,
      messages: [{ role: "user", content: `latency ${count}` }],
    }),
  });
  const text = await res.text();
  if (res.status !== 200) {
    throw new Error(text);
  }
  return performance.now() - started;
}

function at(values, part) {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(part * (sorted.length - 1))];
}

for (let warm = 0; warm < 50; warm += 1) {
  await send(direct, true);
  await send(nodes[0].callers, true);
}
for (const stream of [false, true]) {
  const times = { direct: [], node: [] };
  for (let sent = 0; sent < requests; sent += 1) {
    times.direct.push(await send(direct, stream));
    times.node.push(await send(nodes[0].callers, stream));
  }
  const line = [0.5, 0.99].map((part) => {
    const [plain, routed] = [at(times.direct, part), at(times.node, part)];
    return `p${part * 100} ${plain.toFixed(1)} -> ${routed.toFixed(1)} ms, ` +
      `ratio ${(routed / plain).toFixed(2)}`;
  });
  console.log(stream ? "streamed" : "whole", line.join("; "));
}

for (const target of [direct, nodes[0].callers]) {
  const started = performance.now();
  let done = 0;
  await Promise.all(Array.from({ length: 48 }, async () => {
    while (performance.now() - started < 5_000) {
      await send(target, false).then(() => done += 1, () => undefined);
    }
  }));
  const rate = done / (performance.now() - started) * 1_000;
  console.log(
    target === direct ? "direct" : "through the node",
    `${rate.toFixed(0)} requests/s, 48 callers`,
  );
}
console.log("rss MB", (process.memoryUsage().rss / 1e6).toFixed(0));
await running.stop();
await deployment.close();
rmSync(directory, { recursive: true });
process.exit(0);
