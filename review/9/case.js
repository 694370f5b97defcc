// Two software versions serve side by side. The node that writes for the others
// where streams began loses power. A moment later another node is killed, and its
// clients take their streams up again at nodes that nothing disturbs.
import {
  checkNodes,
  runCase,
  SetupError,
  startNodes,
} from "../support-2/case.js";
import { loopback, makeConfig, sleep } from "../support-2/nodes.js";
import { sendTry, StreamWorker } from "../support-2/streams.js";

const NODES = 4;
/** Clients of the node that is killed, and of each other node but the first. */
const CLIENTS = 20;
const OTHER_CLIENTS = 6;
const EVENTS = 24;
const EVENT_MS = 50;
const TIME_BUDGET_MS = 12_000;
const RETRY_MS = 300;
/** From the loss of power of the first node to the kill of the second one. */
const KILL_AFTER_MS = 1_400;
/** For how long the first node is without power. */
const DARK_MS = 3_500;
/** From the kill of the second node to its next start. */
const RESTART_MS = 500;
const RUN_MS = 6_000;
const WORKERS = ["v1", "v1", "v2", "v2"];
const BATCH_PREFIX = "limpetshed/streams/";
/** The rule looks at so many streams that are taken up again, or more. */
const MIN_RESUMED = 12;

/** The node that wrote last to the store where streams began. */
function findWriter({ store, fleet }) {
  const key = store.lastWritten(BATCH_PREFIX) ?? "";
  return fleet.nodes.findIndex(({ name }) =>
    key.startsWith(`${BATCH_PREFIX}${name}/`)
  );
}

/** Reads one stream; takes it up again once at another node if it breaks off. */
async function readStream(client, { context, results }) {
  const { fleet, record } = context;
  const events = [];
  const prompt = `${client.index}0${client.streams}`;
  client.streams += 1;
  const id = `c${client.index}s${client.streams}`;
  const first = await sendTry(fleet.nodes[client.node].front, {
    id,
    prompt,
    leftMs: TIME_BUDGET_MS,
    events,
  });
  const begun = events.length;
  results.push({ isResumed: false, node: client.node, isServed: begun > 0 });
  if (first.status === 200 && first.isComplete) {
    return;
  }
  record(
    `${id} at ${fleet.nodes[client.node].name}: ` +
      `${first.status || first.error}, ${begun} events, not complete`,
  );
  if (begun === 0) {
    await sleep(RETRY_MS);
    return;
  }
  await sleep(RETRY_MS);
  client.node = client.refuge;
  const again = await sendTry(fleet.nodes[client.node].front, {
    id: `${id}again`,
    prompt,
    leftMs: TIME_BUDGET_MS - 2_000,
    events,
    firstId: id,
  });
  const isServed = events.length > begun;
  results.push({ isResumed: true, node: client.node, isServed });
  record(
    `${id} again at ${fleet.nodes[client.node].name} after event ${begun}: ` +
      `${again.status || again.error}, ${events.length - begun} events`,
  );
}

await runCase(import.meta.url, async (context) => {
  const { store, fleet, record, isTroubled, nowMs, onClose } = context;
  const storeAddress = await store.listen(loopback(0));
  const workers = WORKERS.map((version, i) =>
    new StreamWorker(
      { id: `i-${i}`, version, events: EVENTS, eventMs: EVENT_MS },
      { store, onRun: () => undefined },
    )
  );
  onClose(() => workers.forEach((worker) => worker.close()));
  await Promise.all(workers.map((worker, i) => worker.listen(loopback(1 + i))));
  workers.forEach((worker, i) => worker.beat(i * 100));
  store.put(
    "op/config",
    makeConfig({
      routes: [{
        name: "refine",
        prefix: "/refine/",
        kind: "streaming",
        resumable: true,
        max_attempts: 2,
        timeout_ms: TIME_BUDGET_MS,
        service: "model",
      }],
      services: [{ name: "model" }],
    }),
  );
  await fleet.prepare({ count: NODES, store: storeAddress });
  await startNodes(context);
  await sleep(3_000);
  const probes = [];
  await Promise.all(fleet.nodes.map((_, node) =>
    readStream(
      { index: 900 + node, node, refuge: node, streams: 0 },
      { context, results: probes },
    )
  ));
  await sleep(500);
  const writer = findWriter(context);
  if (writer < 0 || probes.some(({ isServed }) => !isServed)) {
    throw new SetupError("no node writes where streams began");
  }
  const [victim, ...rest] = fleet.nodes.map((_, i) => i)
    .filter((i) => i !== writer);
  record(`${fleet.nodes[writer].name} writes for the others`);
  const clients = [
    ...Array.from({ length: CLIENTS }, (_, i) => ({
      node: victim,
      refuge: rest[i % rest.length],
    })),
    ...rest.flatMap((node) =>
      Array.from({ length: OTHER_CLIENTS }, () => ({ node, refuge: node }))
    ),
  ].map((client, index) => ({ ...client, index, streams: 0 }));
  const results = [];
  const endMs = nowMs() + RUN_MS;
  const loops = clients.map(async (client) => {
    await sleep(client.index * 37 % (EVENTS * EVENT_MS));
    while (nowMs() < endMs) {
      await readStream(client, { context, results });
    }
  });
  if (isTroubled) {
    await sleep(2_000);
    record(`${fleet.nodes[writer].name} loses power`);
    await fleet.nodes[writer].kill();
    await sleep(KILL_AFTER_MS);
    record(`${fleet.nodes[victim].name} is killed`);
    await fleet.nodes[victim].kill();
    await sleep(RESTART_MS);
    fleet.nodes[victim].start();
    await sleep(DARK_MS - KILL_AFTER_MS - RESTART_MS);
    fleet.nodes[writer].start();
  }
  await Promise.all(loops);
  checkNodes(context);
  const share = (rows) =>
    rows.length === 0
      ? 0
      : rows.filter(({ isServed }) => isServed).length / rows.length;
  const resumed = results.filter(({ isResumed }) => isResumed);
  const fresh = results.filter(({ isResumed, node }) =>
    !isResumed && rest.includes(node)
  );
  return {
    broken: resumed.length >= MIN_RESUMED && share(resumed) < share(fresh) / 2,
    summary: `of ${resumed.length} streams that were taken up again ` +
      `${Math.round(100 * share(resumed))} in 100 went on, of ` +
      `${fresh.length} new streams ${Math.round(100 * share(fresh))} in 100 ` +
      "began, at nodes that nothing disturbed",
  };
});
