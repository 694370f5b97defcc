// Workers of two software versions fail part of their requests; then two of four
// relays are killed, and clients take their streams up again at others.
import { makeConfig, runCase, sleep } from "../support/deployment.mjs";

const KEY = "key-1";
const PATH = "/letters/1";
const EVENTS = 20;
const EVENT_MS = 400;
const TIME_BUDGET_MS = 12_000;
const NEW_STREAMS_PER_S = 150;
const MIN_WORK_MS = 40;
const MAX_WORK_MS = 140;
const FAILED_SHARE = 0.45;
const FAIL_AT_MS = 5_000;
const FAIL_FOR_MS = 4_000;
const KILLED_RELAYS = 2;
const ROUNDS = 5;
const RETRIES = 3;
const RETRY_DELAY_MS = 500;
const MAX_JOINED = 2;

await runCase(import.meta.url, async (deployment, { isTrouble }) => {
  let isFailing = false;
  for (const [index, version] of ["v1", "v2", "v1", "v2", "v1"].entries()) {
    await deployment.addWorker({
      id: `i-${index}`,
      service: "model",
      version,
      slots: 1_000,
      events: EVENTS,
      eventMs: EVENT_MS,
      workMs: () => MIN_WORK_MS + Math.random() * (MAX_WORK_MS - MIN_WORK_MS),
      fails: () => isFailing && Math.random() < FAILED_SHARE,
    });
  }
  deployment.writeConfig(makeConfig({
    version: 1,
    routes: [{
      prefix: "/letters/",
      service: "model",
      kind: "streaming",
      resumable: true,
      timeout_ms: TIME_BUDGET_MS,
      max_attempts: 2,
    }],
    services: ["model"],
    tenants: [{ name: "acme", api_keys: [KEY] }],
  }));
  await deployment.startRelays(["a", "a", "b", "b"]);
  await sleep(3_000);

  const streams = [];
  const running = [];
  let isOver = false;
  let turn = 0;
  const pickRelay = () => {
    for (;;) {
      turn += 1;
      const relay = deployment.relays[turn % deployment.relays.length];
      if (relay.isRunning) {
        return relay;
      }
    }
  };
  const starting = (async () => {
    const startMs = deployment.nowMs;
    let count = 0;
    while (!isOver) {
      const due = (deployment.nowMs - startMs) * NEW_STREAMS_PER_S / 1_000;
      while (count < due) {
        count += 1;
        const stream = { versions: new Map(), lastEventId: 0, tries: 0 };
        streams.push(stream);
        running.push(runStream(deployment, stream, pickRelay));
      }
      await sleep(10);
    }
  })();
  await sleep(FAIL_AT_MS - deployment.nowMs);
  for (let round = 0; round < ROUNDS; round += 1) {
    if (isTrouble) {
      isFailing = true;
      deployment.note("workers fail requests");
    }
    await sleep(FAIL_FOR_MS);
    isFailing = false;
    const killed = isTrouble ? deployment.relays.slice(0, KILLED_RELAYS) : [];
    await Promise.all(killed.map((relay) => relay.kill()));
    deployment.note(`${killed.length} relays are killed`);
    await sleep(1_000);
    killed.forEach((relay) => relay.start());
    await deployment.waitUntilReady();
    await sleep(3_500);
  }
  isOver = true;
  await starting;
  await Promise.all(running);

  const joined = streams.filter(({ versions }) =>
    new Set(versions.values()).size > 1
  );
  const resumed = streams.filter(({ tries }) => tries > 1).length;
  const summary = `${joined.length} of ${streams.length} streams (${resumed} ` +
    `taken up again) hold events of two versions`;
  deployment.note(summary);
  console.log(summary);
  return joined.length > MAX_JOINED
    ? joined.map(({ firstRequestId, versions }) =>
      `${firstRequestId}: ${JSON.stringify([...versions])}`
    )
    : [];
});

/** Sends a client's request for a stream, and takes the stream up again where it
 * breaks off. */
async function runStream(deployment, stream, pickRelay) {
  const startedMs = deployment.nowMs;
  const leftMs = () => startedMs + TIME_BUDGET_MS - deployment.nowMs;
  while (stream.tries <= RETRIES && leftMs() > RETRY_DELAY_MS) {
    stream.tries += 1;
    let buffer = "";
    const attempt = await deployment.send(pickRelay(), {
      path: PATH,
      key: KEY,
      deadlineMs: Math.floor(leftMs()),
      headers: stream.firstRequestId === undefined ? {} : {
        "last-event-id": String(stream.lastEventId),
        resumes: stream.firstRequestId,
      },
      onData: ({ requestId, status }, chunk) => {
        if (status !== 200) {
          return;
        }
        buffer += chunk;
        const events = buffer.split("\n\n");
        buffer = events.pop();
        for (const event of events) {
          const [, id, version] = /^id: (\d+)\ndata: (\S+)/.exec(event);
          stream.firstRequestId ??= requestId;
          stream.lastEventId = Number(id);
          stream.versions.set(stream.lastEventId, version);
        }
      },
    });
    if (attempt.isComplete && stream.lastEventId === EVENTS) {
      return;
    }
    await sleep(RETRY_DELAY_MS);
  }
}
