// Measures the processor time of relay nodes: of a start, while idle, and per
// request, with the program of the platform beside a fake store and fake
// endpoints. Usage:
//   npm run build && npm run bundle:node && \
//     node scripts/measure_nodes.js [NODES] [ENDPOINTS] [REQUESTS_PER_S] [SECONDS]
import { mkdtempSync, readdirSync, readFileSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { Rng } from "@limpetshed/hashing";
import { API_KEY, Deployment } from "../platform/dist/soak/deployment.js";
import { sendRequest } from "../platform/dist/soak/send_request.js";
import { sleep } from "../platform/dist/soak/sleep.js";

const [nodes = 3, endpoints = 10, requestsPerS = 20, seconds = 8] = process.argv
  .slice(2).map(Number);
const PROGRAM = new URL("../target/limpetshed.cjs", import.meta.url).pathname;
/** By then a node has its state, unless the machine is overloaded. */
const START_MS = 1_500;
const START_SPACING_MS = 150;
const READY_POLL_MS = 5;
const READY_TIMEOUT_MS = 20_000;
const KINDS = ["safe", "unsafe", "stream", "resume"];

const sum = (values) => values.reduce((total, value) => total + value, 0);
const round = (value) => Math.round(value * 100) / 100;

/** Processor time that all threads of a node have used, milliseconds. */
function cpuMs({ process: { pid } }) {
  const tasks = `/proc/${pid}/task`;
  return sum(
    readdirSync(tasks).map((task) => {
      const stat = readFileSync(`${tasks}/${task}/schedstat`, "utf8");
      return Number(stat.split(" ")[0]) / 1e6;
    }),
  );
}

const totalCpuMs = () => sum(deployment.nodes.map(cpuMs));

async function readyAfterMs(node) {
  const startMs = performance.now();
  while (performance.now() - startMs < READY_TIMEOUT_MS) {
    if (await node.isReady()) {
      return performance.now() - startMs;
    }
    await sleep(READY_POLL_MS);
  }
  throw new Error("a node did not become ready");
}

async function sendLoad() {
  let sent = 0;
  let answered = 0;
  const pending = [];
  const startMs = performance.now();
  while (performance.now() - startMs < seconds * 1_000) {
    const { process: node, agent } = deployment.nodes[sent % nodes];
    const kind = KINDS[Math.floor(sent / nodes) % KINDS.length];
    pending.push(
      sendRequest({
        requestId: `${kind}${sent}`,
        kind,
        node: node.options.name,
        port: node.options.frontPort,
        agent,
        key: API_KEY,
        promptParts: [`p${sent % 40}`, `q${sent}`],
      }).then(({ status }) => {
        answered += status === 200 ? 1 : 0;
      }),
    );
    sent += 1;
    await sleep(
      startMs + sent * 1_000 / (requestsPerS * nodes) - performance.now(),
    );
  }
  await Promise.all(pending);
  return { sent, answered };
}

const directory = mkdtempSync(join(tmpdir(), "limpetshed-measure-"));
const deployment = new Deployment({
  nodes,
  endpoints,
  program: PROGRAM,
  directory,
  rng: new Rng(1),
});
try {
  await deployment.prepare();
  const [first, ...others] = deployment.nodes.map(({ process: node }) => node);
  first.start();
  const readyMs = await readyAfterMs(first);
  for (const node of others) {
    node.start();
    await sleep(START_SPACING_MS);
  }
  await Promise.all(others.map((node) => readyAfterMs(node)));
  await sleep(START_MS);
  const restarted = deployment.nodes.at(-1);
  restarted.process.signal("SIGKILL");
  await restarted.process.gone();
  restarted.process.start();
  const startedMs = performance.now();
  await sleep(START_MS);
  const startCpuMs = cpuMs(restarted);
  const startWindowMs = performance.now() - startedMs;
  const before = totalCpuMs();
  await sleep(seconds * 1_000);
  const idlePerMs = (totalCpuMs() - before) / nodes / (seconds * 1_000);
  const beforeLoad = totalCpuMs();
  const loadStartMs = performance.now();
  const { sent, answered } = await sendLoad();
  const loadMs = performance.now() - loadStartMs;
  const loadCpuMs = totalCpuMs() - beforeLoad;
  console.log(JSON.stringify({
    nodes,
    endpoints,
    readyMs: Math.round(readyMs),
    startCpuMs: Math.round(startCpuMs - idlePerMs * startWindowMs),
    idlePercent: round(idlePerMs * 100),
    cpuMsPerRequest: round(
      (loadCpuMs - idlePerMs * loadMs * nodes) / sent,
    ),
    sent,
    answered,
  }));
} finally {
  await deployment.close();
  rmSync(directory, { recursive: true, force: true });
}
