// Measures what nodes spend on control: starts the stand-ins and N nodes as
// processes of their own, sends a load, and reads each node's own counters at
// the start and the end of a window. Usage:
//   node scripts/measure_control.js NODES REQUESTS_PER_NODE_AND_SECOND SECONDS \
//     [MODELS] [MEMBERS] [WARM_SECONDS] [POLICY]
import process from "node:process";
import { mean, pause, ProcessFleet } from "./process_fleet.js";

const [
  nodes = 4,
  rate = 3.7,
  seconds = 20,
  models = 6,
  members = 10,
  warm = 6,
] = process.argv.slice(2, 8).map(Number);
const policy = process.argv[8] ?? "owner";
const fleet = new ProcessFleet();

const statuses = () =>
  Promise.all(fleet.nodes.map((node) => fleet.ask(node, "/v1/status")));

function perSecond(before, after, read) {
  return mean(
    after.map((status, index) =>
      (read(status) - read(before[index])) / seconds
    ),
  );
}

function storeCalls({ metrics }) {
  return Object.entries(metrics)
    .filter(([name]) => name.startsWith("store.call."))
    .reduce((sum, [, value]) => sum + value, 0);
}

try {
  const { confirmed } = await fleet.start({ nodes, models, members, policy });
  await pause(warm * 1_000);
  const load = rate > 0
    ? fleet.load({ rate: rate * nodes, seconds: seconds + 4 })
    : Promise.resolve({});
  await pause(2_000);
  const before = await statuses();
  await pause(seconds * 1_000);
  const after = await statuses();
  const summary = await load;
  const rates = (read) => perSecond(before, after, read);
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
    store_calls_per_s: rates(storeCalls),
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
