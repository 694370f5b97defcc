// Measures the control-plane overhead of nodes: network traffic, store calls,
// CPU and memory. Starts the stand-ins and the nodes as separate processes,
// generates load and compares each node's counters at the start and the end of
// the measurement period. Usage:
//   node scripts/measure_control.js [NODES] [REQUESTS_PER_SECOND_PER_NODE] \
//     [SECONDS] [MODELS] [MEMBERS] [WARM_UP_SECONDS] [POLICY]
import process from "node:process";
import { mean, ProcessFleet, sleep } from "./process_fleet.js";

const [
  nodes = 4,
  rate = 3.7,
  seconds = 20,
  models = 6,
  members = 10,
  warmUpSeconds = 6,
] = process.argv.slice(2, 8).map(Number);
const policy = process.argv[8] ?? "owner";
const fleet = new ProcessFleet();

const readStatuses = () =>
  Promise.all(
    fleet.nodes.map((node) => fleet.callOperatorApi(node, "/v1/status")),
  );

function meanPerSecond(before, after, readCounter) {
  return mean(
    after.map((status, index) =>
      (readCounter(status) - readCounter(before[index])) / seconds
    ),
  );
}

function countStoreCalls({ metrics }) {
  return Object.entries(metrics)
    .filter(([name]) => name.startsWith("store.call."))
    .reduce((sum, [, value]) => sum + value, 0);
}

try {
  const { confirmed } = await fleet.start({ nodes, models, members, policy });
  await sleep(warmUpSeconds * 1_000);
  const load = rate > 0
    ? fleet.runLoad({ rate: rate * nodes, seconds: seconds + 4 })
    : Promise.resolve({});
  await sleep(2_000);
  const before = await readStatuses();
  await sleep(seconds * 1_000);
  const after = await readStatuses();
  const summary = await load;
  const rates = (readCounter) => meanPerSecond(before, after, readCounter);
  console.log(JSON.stringify({
    nodes,
    rate,
    models,
    members,
    policy,
    confirmed,
    wire_sent_per_s: rates(({ wire }) => wire.sent),
    wire_received_per_s: rates(({ wire }) => wire.received),
    frames_sent_per_s: rates((s) => s.metrics["peer.frames_sent"] ?? 0),
    store_calls_per_s: rates(countStoreCalls),
    cpu_part: rates(({ process: p }) => p.cpu_ms / 1_000),
    rss_mb: mean(after.map(({ process: p }) => p.rss_bytes / 1e6)),
    heap_mb: mean(after.map(({ process: p }) => p.heap_bytes / 1e6)),
    sockets: mean(after.map(({ wire }) => wire.open)),
    outcomes: summary.outcomes,
    first_token: summary.firstToken,
    cache_reuse: summary.cacheReuse,
  }));
} finally {
  fleet.close();
}
