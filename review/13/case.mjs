// One spoiled answer of a worker, with the status 000, stops a node for seconds.
import { once } from "node:events";
import * as http from "node:http";
import * as net from "node:net";
import {
  nextAddress,
  runCase,
  sleep,
  TROUBLE,
} from "../support-3/platform.mjs";
import { PlainWorker } from "../support-3/plain_worker.mjs";
import { configuration, Store } from "../support-3/store.mjs";

const SOUND_SERVICE = "app";
const SPOILED_SERVICE = "reports";
const API_KEY = "key-1";
const LIMITS = { memoryMb: 350, fileDescriptors: 4_100 };
const HEARTBEAT_MS = 1_200;
const ROUTE_TIMEOUT_MS = 1_500;
const LATE_MS = 500;
const WORK_MS = 20;
const RUN_MS = 15_000;
const SPOIL_AFTER_MS = 5_000;
const REQUEST_INTERVAL_MS = 50;
const GIVE_UP_MS = 20_000;
/** Tells the worker in trouble by which machine a request comes. */
const MACHINE_HEADER = "review-machine";

/** One worker of three that answers each request; it can be told to spoil one answer for each
 * machine. */
async function startSpoiler({ id, store, record }) {
  const ip = nextAddress();
  let spoilsFor = new Set();
  let answers = 0;
  const answer = (socket, head) => {
    const header = (name) =>
      new RegExp(`^${name}: (.*)$`, "im").exec(head)?.[1].trim();
    const attemptId = header("limpetshed-attempt-id");
    const machine = header(MACHINE_HEADER);
    const isHere = header("limpetshed-expect-instance") === id;
    const isSpoiled = isHere && spoilsFor.delete(machine);
    const status = isSpoiled ? "000" : isHere ? "200" : "421";
    answers += 1;
    if (isSpoiled) {
      record.line(
        `${id} answers ${attemptId} by ${machine} with status 000, its answer ` +
          `${answers}`,
      );
    }
    const lines = [
      `HTTP/1.1 ${status} Answer`,
      `Limpetshed-Attempt-Id: ${attemptId}`,
      isHere
        ? `Limpetshed-Response-Signature: mac-${attemptId}`
        : "Limpetshed-Not-Executed: 1",
      "Content-Length: 2",
    ];
    setTimeout(
      () => socket.write(`${lines.join("\r\n")}\r\n\r\nok`),
      WORK_MS,
    );
  };
  const server = net.createServer((socket) => {
    let text = "";
    socket.on("error", () => undefined);
    socket.on("data", (chunk) => {
      text += chunk.toString("latin1");
      const heads = text.split("\r\n\r\n");
      text = heads.pop();
      heads.forEach((head) => answer(socket, head));
    });
  });
  server.listen(0, ip);
  await once(server, "listening");
  let sequence = 0;
  const born = Date.now();
  const register = () => {
    sequence += 1;
    store.write(`servers/${id}`, {
      service: SPOILED_SERVICE,
      address: `${ip}:${server.address().port}`,
      zone: "zone-a",
      version: "1",
      slots: 64,
      state: "ready",
      cold_remaining_ms: 0,
      born,
      sequence,
    });
  };
  register();
  const heartbeat = setInterval(register, HEARTBEAT_MS);
  return {
    spoilOneFor: (names) => {
      spoilsFor = new Set(names);
    },
    close: () => {
      clearInterval(heartbeat);
      server.close();
    },
  };
}

/** Sends a safe request; resolves to the time to its whole answer. */
function ask(machine, { attemptId, path }) {
  const startMs = performance.now();
  return new Promise((resolve) => {
    const done = (status) =>
      resolve({ attemptId, status, tookMs: performance.now() - startMs });
    const req = http.request({
      ...machine.front,
      agent: false,
      path,
      timeout: GIVE_UP_MS,
      headers: {
        host: "review.example",
        authorization: `Bearer ${API_KEY}`,
        "limpetshed-attempt-id": attemptId,
        "limpetshed-deadline-ms": String(ROUTE_TIMEOUT_MS),
        [MACHINE_HEADER]: machine.name,
      },
    }, (res) => {
      res.resume();
      res.on("error", () => undefined);
      res.on("close", () => done(res.complete ? res.statusCode : "broken off"));
    });
    req.on("timeout", () => req.destroy());
    req.on("error", () => done("none"));
    req.end();
  });
}

await runCase(import.meta.url, async ({ record, makeMachines }) => {
  const store = new Store();
  const address = await store.listen();
  const soundWorkers = ["worker-1", "worker-2", "worker-4", "worker-5"].map(
    (id) =>
      new PlainWorker({ id, workMs: () => WORK_MS, onRun: () => undefined }),
  );
  for (const [index, worker] of soundWorkers.entries()) {
    const service = index < 2 ? SOUND_SERVICE : SPOILED_SERVICE;
    await worker.start({ store, service, zone: "zone-a", slots: 64 });
  }
  const spoiler = await startSpoiler({ id: "worker-3", store, record });
  const route = (name, service) => ({
    name,
    service,
    prefix: `/${name}/`,
    kind: "safe",
    timeout_ms: ROUTE_TIMEOUT_MS,
    target_latency_ms: 121,
  });
  const config = configuration({
    service: SOUND_SERVICE,
    apiKey: API_KEY,
    routes: [
      route("status", SOUND_SERVICE),
      route("reports", SPOILED_SERVICE),
    ],
  });
  config.services.push({ ...config.services[0], name: SPOILED_SERVICE });
  store.write("op/config", config);
  const machines = makeMachines(2, { store: address, limits: LIMITS });
  machines.forEach((machine) => machine.start());
  await Promise.all(machines.map((machine) => machine.waitUntilReady()));
  await sleep(4_000);

  const startMs = performance.now();
  const sound = [];
  const reports = [];
  let hasSpoiled = !TROUBLE;
  while (performance.now() - startMs < RUN_MS) {
    if (!hasSpoiled && performance.now() - startMs > SPOIL_AFTER_MS) {
      hasSpoiled = true;
      spoiler.spoilOneFor(machines.map(({ name }) => name));
    }
    for (const machine of machines) {
      const id = `${machine.name}-${sound.length + 1}`;
      sound.push(ask(machine, { attemptId: `sound-${id}`, path: "/status/1" }));
      reports.push(
        ask(machine, { attemptId: `report-${id}`, path: "/reports/1" }),
      );
    }
    await sleep(REQUEST_INTERVAL_MS);
  }
  const outcomes = await Promise.all(sound);
  for (
    const { attemptId, status, tookMs } of [
      ...outcomes,
      ...await Promise.all(reports),
    ]
  ) {
    record.line(`${attemptId}: ${status} after ${Math.round(tookMs)} ms`);
  }
  const open = outcomes.filter(({ tookMs }) => tookMs > ROUTE_TIMEOUT_MS);
  const late = open.filter(({ tookMs }) => tookMs > ROUTE_TIMEOUT_MS + LATE_MS);
  record.say(`requests to the sound service: ${outcomes.length}`);
  record.say(`open at the route's timeout: ${open.length}`);
  record.say(`not answered half a second later: ${late.length}`);
  soundWorkers.forEach((worker) => worker.close());
  spoiler.close();
  store.close();
  return open.length >= 8 && 2 * late.length > open.length;
});
