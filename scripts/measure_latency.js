// Measures the latency that a node adds on loopback by sending the same requests
// alternately to an endpoint and through a node; then measures the throughput of
// both. Usage:
//   npm run build && node scripts/measure_latency.js [REQUESTS]
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
const [runningNode] = await startNodes({
  deployment,
  directory,
  nodes,
  peerKey: "p",
  operatorKey: "o",
});
const members = memberKeys(1, 1);
await runningNode.node.configRepository.patch({
  expectedVersion: 0,
  id: "first",
  author: "measure",
  patch: deployment.firstConfig({ members, budget: 1e9 }),
});
const directAddress =
  runningNode.node.endpointDirectory.live("monogram")[0].address;

let requestCount = 0;
async function send(address, stream) {
  requestCount += 1;
  const startedMs = performance.now();
  const res = await fetch(`http://${address}/v1/chat/completions`, {
    method: "POST",
    headers: {
      authorization: `Bearer ${members[0].key}`,
      "content-type": "application/json",
      "x-request-id": `direct-${requestCount}`,
      "x-limpetshed-priority": "share",
      "x-limpetshed-chat": "0",
    },
    body: JSON.stringify({
      model: "monogram",
      stream,
      max_tokens: 4,
      messages: [{ role: "user", content: `latency ${requestCount}` }],
    }),
  });
  const text = await res.text();
  if (res.status !== 200) {
    throw new Error(text);
  }
  return performance.now() - startedMs;
}

function quantile(values, fraction) {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(fraction * (sorted.length - 1))];
}

for (let warmUp = 0; warmUp < 50; warmUp += 1) {
  await send(directAddress, true);
  await send(nodes[0].callers, true);
}
for (const stream of [false, true]) {
  const latenciesMs = { direct: [], node: [] };
  for (let sent = 0; sent < requests; sent += 1) {
    latenciesMs.direct.push(await send(directAddress, stream));
    latenciesMs.node.push(await send(nodes[0].callers, stream));
  }
  const line = [0.5, 0.99].map((fraction) => {
    const [directMs, routedMs] = [
      quantile(latenciesMs.direct, fraction),
      quantile(latenciesMs.node, fraction),
    ];
    return `p${fraction * 100} ${directMs.toFixed(1)} -> ${
      routedMs.toFixed(1)
    } ms, ` +
      `ratio ${(routedMs / directMs).toFixed(2)}`;
  });
  console.log(stream ? "streamed" : "whole", line.join("; "));
}

for (const target of [directAddress, nodes[0].callers]) {
  const startedMs = performance.now();
  let completed = 0;
  await Promise.all(Array.from({ length: 48 }, async () => {
    while (performance.now() - startedMs < 5_000) {
      await send(target, false).then(() => completed += 1, () => undefined);
    }
  }));
  const requestsPerSecond = completed / (performance.now() - startedMs) * 1_000;
  console.log(
    target === directAddress ? "direct" : "through the node",
    `${requestsPerSecond.toFixed(0)} requests/s, 48 callers`,
  );
}
console.log("rss MB", (process.memoryUsage().rss / 1e6).toFixed(0));
await runningNode.stop();
await deployment.close();
rmSync(directory, { recursive: true });
process.exit(0);
