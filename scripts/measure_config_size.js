// Measures the cost of a configuration with 38,000 members on a node: memory of
// the current version, time to apply another patch, and the sizes in bytes of a
// record, the head and the chunks that a patch adds. Usage:
//   npm run build && node --expose-gc scripts/measure_config_size.js
import { Buffer } from "node:buffer";
import { createHash } from "node:crypto";
import { performance } from "node:perf_hooks";
import process from "node:process";
import {
  applyPatch,
  emptySnapshot,
  encodeHead,
} from "../packages/config/dist/src/index.js";

const MEMBER_COUNT = 38_000;
const MEMBERS_PER_PATCH = 500;
const measureMemoryMb = () => {
  for (let pass = 0; pass < 4; pass += 1) {
    globalThis.gc();
  }
  const { heapUsed, external } = process.memoryUsage();
  return (heapUsed + external) / 1e6;
};
const sha256Hex = (text) => createHash("sha256").update(text).digest("hex");
const patchOptions = (id) => ({ identity: { id, fingerprint: id } });
const memberConfig = (index) => ({
  keys: [sha256Hex(`key ${index}`)],
  services: ["monogram", "orders"],
  share: 10,
});

const memoryBeforeMb = measureMemoryMb();
let snapshot = applyPatch(emptySnapshot(), {
  budget: { tokens_per_second: 1e9 },
  services: { monogram: { kind: "model" }, orders: { kind: "plain" } },
  availability_zones: { z1: { state: "in" } },
}, patchOptions("base")).snapshot;
for (
  let firstIndex = 0;
  firstIndex < MEMBER_COUNT;
  firstIndex += MEMBERS_PER_PATCH
) {
  const members = {};
  for (
    let index = firstIndex;
    index < firstIndex + MEMBERS_PER_PATCH;
    index += 1
  ) {
    members[`member-${index}`] = memberConfig(index);
  }
  snapshot =
    applyPatch(snapshot, { members }, patchOptions(`p${firstIndex}`)).snapshot;
}
console.log(
  `members ${MEMBER_COUNT}, version in force: ${
    (measureMemoryMb() - memoryBeforeMb).toFixed(1)
  } MB`,
);

const durationsMs = [];
let addedBytes = 0;
for (let index = 0; index < 200; index += 1) {
  const patch = { members: { [`member-${index * 7}`]: { share: 11 } } };
  const startedMs = performance.now();
  const result = applyPatch(snapshot, patch, patchOptions(`one${index}`));
  durationsMs.push(performance.now() - startedMs);
  snapshot = result.snapshot;
  addedBytes += [...result.added.values()].reduce(
    (sum, chunk) => sum + chunk.length,
    0,
  );
}
durationsMs.sort((a, b) => a - b);
const p50 = durationsMs[100].toFixed(2);
console.log(`one patch: p50 ${p50} ms, p99 ${durationsMs[198].toFixed(2)} ms`);
console.log(`head ${Buffer.byteLength(encodeHead(snapshot.head))} B,`);
console.log(`chunk written per patch ${Math.round(addedBytes / 200)} B`);
const record = JSON.stringify({
  version: 1,
  id: "01M8ZFFJHYMNRPYCDV47C08BRW",
  author: "operator",
  at: new Date(0).toISOString(),
  patch: '{"members":{"member-1":{"share":11}}}',
  headDigest: "0".repeat(32),
});
console.log(`record sent between nodes ${Buffer.byteLength(record)} B`);
