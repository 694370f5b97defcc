// Measures what the configuration of 38,000 members costs a node: memory of
// the version in force, time to apply one more patch, bytes of a record and of
// the head. Usage: npm run build && node --expose-gc scripts/measure_config_size.js
import { Buffer } from "node:buffer";
import { createHash } from "node:crypto";
import { performance } from "node:perf_hooks";
import process from "node:process";
import {
  applyPatch,
  emptySnapshot,
  encodeHead,
} from "../packages/config/dist/src/index.js";

const MEMBERS = 38_000;
const PER_PATCH = 500;
const memory = () => {
  for (let round = 0; round < 4; round += 1) {
    globalThis.gc();
  }
  const { heapUsed, external } = process.memoryUsage();
  return (heapUsed + external) / 1e6;
};
const digest = (text) => createHash("sha256").update(text).digest("hex");
const identity = (id) => ({ identity: { id, fingerprint: id } });
const member = (index) => ({
  keys: [digest(`key ${index}`)],
  services: ["monogram", "orders"],
  share: 10,
});

const before = memory();
let snapshot = applyPatch(emptySnapshot(), {
  budget: { tokens_per_second: 1e9 },
  services: { monogram: { kind: "model" }, orders: { kind: "plain" } },
  availability_zones: { z1: { state: "in" } },
}, identity("base")).snapshot;
for (let from = 0; from < MEMBERS; from += PER_PATCH) {
  const members = {};
  for (let index = from; index < from + PER_PATCH; index += 1) {
    members[`member-${index}`] = member(index);
  }
  snapshot = applyPatch(snapshot, { members }, identity(`p${from}`)).snapshot;
}
console.log(
  `members ${MEMBERS}, version in force: ${(memory() - before).toFixed(1)} MB`,
);

const times = [];
let added = 0;
for (let index = 0; index < 200; index += 1) {
  const patch = { members: { [`member-${index * 7}`]: { share: 11 } } };
  const started = performance.now();
  const result = applyPatch(snapshot, patch, identity(`one${index}`));
  times.push(performance.now() - started);
  snapshot = result.snapshot;
  added += [...result.added.values()].reduce((sum, c) => sum + c.length, 0);
}
times.sort((a, b) => a - b);
const p50 = times[100].toFixed(2);
console.log(`one patch: p50 ${p50} ms, p99 ${times[198].toFixed(2)} ms`);
console.log(`head ${Buffer.byteLength(encodeHead(snapshot.head))} B,`);
console.log(`chunk written per patch ${Math.round(added / 200)} B`);
const record = JSON.stringify({
  version: 1,
  id: "01M8ZFFJHYMNRPYCDV47C08BRW",
  author: "operator",
  at: new Date(0).toISOString(),
  patch: '{"members":{"member-1":{"share":11}}}',
  headDigest: "0".repeat(32),
});
console.log(`record sent between nodes ${Buffer.byteLength(record)} B`);
