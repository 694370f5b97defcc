// Measures how a member that surges to 50 times its share affects a member that
// stays within its share: its success rate and time to first token in a run
// without the surge and in a run with it. Uses a simulated clock. Usage:
//   npm run build && node scripts/measure_shares.js [SEED ...]
import process from "node:process";
import { TestFleet } from "../packages/node/dist/tests/support/test_fleet.js";

const SHARE_TOKENS_PER_SECOND = 1_000;
const REQUEST_COST_TOKENS = 10;
const STEP_COUNT = 200;
const STEP_MS = 100;
const SURGE_REQUESTS_PER_STEP = 50 * SHARE_TOKENS_PER_SECOND /
  REQUEST_COST_TOKENS * STEP_MS / 1_000;
const seeds = process.argv.slice(2).map(Number);

const quantile = (values, fraction) =>
  [...values].sort((a, b) => a - b)[Math.floor(fraction * (values.length - 1))];

async function run(seed, hasSurge) {
  const member = {
    keys: [],
    services: ["chat"],
    share: SHARE_TOKENS_PER_SECOND,
  };
  const fleet = await TestFleet.ready({
    seed,
    config: {
      budget: { tokens_per_second: 10 * SHARE_TOKENS_PER_SECOND },
      services: { chat: { kind: "model", max_in_flight: 16 } },
      members: { a: member, b: member, c: member },
    },
  });
  await fleet.run(10_000);
  const steadyRequests = [];
  const surgeRequests = [];
  for (let step = 0; step < STEP_COUNT; step += 1) {
    if (hasSurge) {
      for (let sent = 0; sent < SURGE_REQUESTS_PER_STEP; sent += 1) {
        const node = `n${1 + sent % 4}`;
        surgeRequests.push(
          fleet.chat({ node, member: "a", text: `a${step}/${sent}` }),
        );
      }
    }
    const node = `n${1 + step % 4}`;
    steadyRequests.push(fleet.chat({ node, member: "b", text: `b${step}` }));
    await fleet.run(STEP_MS);
  }
  const steadyAnswers = await fleet.settle(Promise.all(steadyRequests));
  const surgeAnswers = await fleet.settle(Promise.all(surgeRequests));
  await fleet.close();
  const ok = steadyAnswers.filter(({ outcome }) => outcome === "ok");
  const firstTokenTimesMs = ok.map(({ firstEventMs }) => firstEventMs);
  return {
    ok: ok.length / steadyAnswers.length,
    p50: quantile(firstTokenTimesMs, 0.5),
    p99: quantile(firstTokenTimesMs, 0.99),
    surgeOk: surgeAnswers.filter(({ outcome }) => outcome === "ok").length,
    surgeSent: surgeAnswers.length,
  };
}

for (const seed of seeds.length > 0 ? seeds : [1, 2, 3]) {
  const baseline = await run(seed, false);
  const withSurge = await run(seed, true);
  console.log(
    `seed ${seed}: answered ${baseline.ok} -> ${withSurge.ok};`,
    `first token p50 ${baseline.p50.toFixed(0)} -> ${
      withSurge.p50.toFixed(0)
    } ms,`,
    `p99 ${baseline.p99.toFixed(0)} -> ${withSurge.p99.toFixed(0)} ms;`,
    `surge ${withSurge.surgeOk} of ${withSurge.surgeSent} answered`,
  );
}
process.exit(0);
