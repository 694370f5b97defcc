// Runs node processes under load while killing, suspending, terminating and
// restarting them at random; prints the outcomes of requests, the number of
// broken invariants and the memory use of one node. Usage:
//   npm run build && node scripts/soak.js [SECONDS] [SEED]
import process from "node:process";
import { ProcessFleet, sleep } from "./process_fleet.js";

const [seconds = 120, seed = 1] = process.argv.slice(2).map(Number);
const NODE_COUNT = 4;
const REQUESTS_PER_SECOND = 20;
const FAULT_INTERVAL_MS = 8_000;
const SUSPEND_DURATION_MS = 5_000;
const FAULTS = ["SIGKILL", "SIGSTOP", "SIGTERM"];
const fleet = new ProcessFleet();

let randomState = seed;
function randomInt(bound) {
  randomState = (randomState * 1_103_515_245 + 12_345) % 2 ** 31;
  return Math.floor(randomState / 2 ** 31 * bound);
}

async function injectFault(index, fault) {
  const child = fleet.nodeProcesses[index];
  child.kill(fault);
  if (fault === "SIGSTOP") {
    await sleep(SUSPEND_DURATION_MS);
    child.kill("SIGCONT");
    return;
  }
  if (child.exitCode === null && child.signalCode === null) {
    await new Promise((resolve) => child.once("exit", resolve));
  }
  fleet.nodeProcesses[index] = fleet.spawn(
    "serve",
    "--settings",
    fleet.settingsFiles[index],
  );
  await fleet.waitUntilReady(fleet.nodes[index]);
}

try {
  await fleet.start({ nodes: NODE_COUNT, models: 6, members: 10 });
  await sleep(5_000);
  // The first node gets no faults, so that its memory use shows any leak.
  const rssSamplesMb = [];
  const load = fleet.runLoad({ rate: REQUESTS_PER_SECOND, seconds });
  const endMs = Date.now() + seconds * 1_000 - FAULT_INTERVAL_MS;
  const injectedFaults = [];
  while (Date.now() < endMs) {
    const status = await fleet.callOperatorApi(fleet.nodes[0], "/v1/status");
    rssSamplesMb.push(status.process.rss_bytes / 1e6);
    const index = 1 + randomInt(NODE_COUNT - 1);
    const fault = FAULTS[randomInt(FAULTS.length)];
    injectedFaults.push(`${fault} ${fleet.nodes[index].id}`);
    await Promise.all([injectFault(index, fault), sleep(FAULT_INTERVAL_MS)]);
  }
  const summary = await load;
  const statuses = await Promise.all(
    fleet.nodes.map((node) => fleet.callOperatorApi(node, "/v1/status")),
  );
  const brokenInvariants = statuses.reduce(
    (sum, { metrics }) => sum + (metrics["invariant.broken"] ?? 0),
    0,
  );
  console.log(JSON.stringify(
    {
      seconds,
      seed,
      faults: injectedFaults,
      sent: summary.sent,
      outcomes: summary.outcomes,
      cacheReuse: summary.cacheReuse,
      broken: brokenInvariants,
      versions: statuses.map(({ config_version: version }) => version),
      rss_mb: rssSamplesMb.map((mb) => Math.round(mb)),
    },
    null,
    1,
  ));
} finally {
  fleet.close();
}
