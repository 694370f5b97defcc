// Keeps real node processes under load while they are killed, paused, stopped
// and restarted; prints outcomes, broken invariants and memory. Usage:
//   npm run build && node scripts/soak.js [SECONDS] [SEED]
import process from "node:process";
import { pause, ProcessFleet } from "./process_fleet.js";

const [seconds = 120, seed = 1] = process.argv.slice(2).map(Number);
const NODES = 4;
const RATE = 20;
const EVERY_MS = 8_000;
const PAUSE_MS = 5_000;
const FAULTS = ["SIGKILL", "SIGSTOP", "SIGTERM"];
const fleet = new ProcessFleet();

let state = seed;
function random(below) {
  state = (state * 1_103_515_245 + 12_345) % 2 ** 31;
  return Math.floor(state / 2 ** 31 * below);
}

async function disturb(index, fault) {
  const child = fleet.processes[index];
  child.kill(fault);
  if (fault === "SIGSTOP") {
    await pause(PAUSE_MS);
    child.kill("SIGCONT");
    return;
  }
  if (child.exitCode === null && child.signalCode === null) {
    await new Promise((resolve) => child.once("exit", resolve));
  }
  fleet.processes[index] = fleet.spawn(
    "serve",
    "--settings",
    fleet.settings[index],
  );
  await fleet.untilReady(fleet.nodes[index]);
}

try {
  await fleet.start({ nodes: NODES, models: 6, members: 10 });
  await pause(5_000);
  // The first node is left alone; it shows whether memory grows.
  const rss = [];
  const load = fleet.load({ rate: RATE, seconds });
  const endMs = Date.now() + seconds * 1_000 - EVERY_MS;
  const done = [];
  while (Date.now() < endMs) {
    const status = await fleet.ask(fleet.nodes[0], "/v1/status");
    rss.push(status.process.rss_bytes / 1e6);
    const index = 1 + random(NODES - 1);
    const fault = FAULTS[random(FAULTS.length)];
    done.push(`${fault} ${fleet.nodes[index].id}`);
    await Promise.all([disturb(index, fault), pause(EVERY_MS)]);
  }
  const summary = await load;
  const statuses = await Promise.all(
    fleet.nodes.map((node) => fleet.ask(node, "/v1/status")),
  );
  const broken = statuses.reduce(
    (sum, { metrics }) => sum + (metrics["invariant.broken"] ?? 0),
    0,
  );
  console.log(JSON.stringify(
    {
      seconds,
      seed,
      faults: done,
      sent: summary.sent,
      outcomes: summary.outcomes,
      cacheReuse: summary.cacheReuse,
      broken,
      versions: statuses.map(({ config_version: version }) => version),
      rss_mb: rss.map((mb) => Math.round(mb)),
    },
    null,
    1,
  ));
} finally {
  fleet.close();
}
