// Measures what a member's surge to 50 times its share does to another member
// within its share: waits and answers before and during. Driven clock. Usage:
//   npm run build && node scripts/measure_shares.js [SEED ...]
import process from "node:process";
import { TestFleet } from "../packages/node/dist/tests/support/test_fleet.js";

const SHARE = 1_000;
const COST = 10;
const STEPS = 200;
const STEP_MS = 100;
const SURGE_PER_STEP = 50 * SHARE / COST * STEP_MS / 1_000;
const seeds = process.argv.slice(2).map(Number);

const at = (values, part) =>
  [...values].sort((a, b) => a - b)[Math.floor(part * (values.length - 1))];

async function run(seed, surging) {
  const member = { keys: [], services: ["chat"], share: SHARE };
  const fleet = await TestFleet.ready({
    seed,
    config: {
      budget: { tokens_per_second: 10 * SHARE },
      services: { chat: { kind: "model", max_in_flight: 16 } },
      members: { a: member, b: member, c: member },
    },
  });
  await fleet.run(10_000);
  const steady = [];
  const surge = [];
  for (let step = 0; step < STEPS; step += 1) {
    if (surging) {
      for (let sent = 0; sent < SURGE_PER_STEP; sent += 1) {
        const node = `n${1 + sent % 4}`;
        surge.push(fleet.chat({ node, member: "a", text: `a${step}/${sent}` }));
      }
    }
    const node = `n${1 + step % 4}`;
    steady.push(fleet.chat({ node, member: "b", text: `b${step}` }));
    await fleet.run(STEP_MS);
  }
  const answers = await fleet.settle(Promise.all(steady));
  const surged = await fleet.settle(Promise.all(surge));
  await fleet.close();
  const ok = answers.filter(({ outcome }) => outcome === "ok");
  const firsts = ok.map(({ firstEventMs }) => firstEventMs);
  return {
    ok: ok.length / answers.length,
    p50: at(firsts, 0.5),
    p99: at(firsts, 0.99),
    surgeOk: surged.filter(({ outcome }) => outcome === "ok").length,
    surgeSent: surged.length,
  };
}

for (const seed of seeds.length > 0 ? seeds : [1, 2, 3]) {
  const calm = await run(seed, false);
  const during = await run(seed, true);
  console.log(
    `seed ${seed}: answered ${calm.ok} -> ${during.ok};`,
    `first token p50 ${calm.p50.toFixed(0)} -> ${during.p50.toFixed(0)} ms,`,
    `p99 ${calm.p99.toFixed(0)} -> ${during.p99.toFixed(0)} ms;`,
    `surge ${during.surgeOk} of ${during.surgeSent} answered`,
  );
}
process.exit(0);
