// The store comes back from a copy; then the operator withdraws a key and moves a
// route.
import {
  CONFIG_APPLY_MS,
  CONTACT_MS,
  makeConfig,
  runCase,
  sleep,
} from "../support/deployment.mjs";

const COPY_AGE_MS = 5_000;
const AWAY_MS = 1_000;
const STORM_VERSIONS = 12;
const STORM_GAP_MS = 330;
/** From the return of the store to the next configuration. */
const CALM_MS = CONTACT_MS + 1_000;
/** Requests are sent from this time after the ack on. */
const FIRST_SENT_MS = CONFIG_APPLY_MS + 500;
const SENT_FOR_MS = 10_000;
const SEND_INTERVAL_MS = 200;

const OLD_KEY = "key-old";
const NEW_KEY = "key-new";
const TENANTS = [{ name: "acme", api_keys: [OLD_KEY, NEW_KEY] }];

function config(version, { service = "app", tenants = TENANTS } = {}) {
  const added = Array.from({ length: version - 1 }, (_, index) => ({
    prefix: `/added-${index + 1}/`,
    service: "app",
  }));
  return makeConfig({
    version,
    routes: [{ prefix: "/orders/", service }, ...added],
    services: ["app", "app2"],
    tenants,
  });
}

await runCase(import.meta.url, async (deployment, { isTrouble }) => {
  const { store } = deployment;
  for (const [index, service] of ["app", "app", "app2", "app2"].entries()) {
    await deployment.addWorker({
      id: `i-${service}-${index}`,
      service,
      zone: index % 2 === 0 ? "a" : "b",
    });
  }
  deployment.writeConfig(config(1));
  await deployment.startRelays(["a", "a", "b"]);
  await sleep(2_000);

  const copy = store.copy();
  const copiedMs = deployment.nowMs;
  deployment.note(`the store is copied at revision ${store.revision}`);
  for (let version = 2; version <= 1 + STORM_VERSIONS; version += 1) {
    deployment.writeConfig(config(version));
    await sleep(STORM_GAP_MS);
  }
  await sleep(copiedMs + COPY_AGE_MS - deployment.nowMs);
  if (isTrouble) {
    deployment.note(`the store goes away at revision ${store.revision}`);
    deployment.setBeats(false);
    store.goAway();
    await sleep(AWAY_MS);
    store.restore(copy);
    await store.comeBack();
    deployment.note(
      `the store is back, era ${store.era}, revision ${store.revision}`,
    );
    // What the operator and the workers wrote is written again.
    deployment.writeConfig(config(1 + STORM_VERSIONS));
    deployment.setBeats(true);
    deployment.beat();
  } else {
    await sleep(AWAY_MS);
  }
  const callsBefore = store.callCount;
  await sleep(CALM_MS);
  const callsPerS = (store.callCount - callsBefore) * 1_000 / CALM_MS;
  deployment.note(`${callsPerS.toFixed(0)} calls to the store a second`);

  const ackMs = deployment.writeConfig(
    config(2 + STORM_VERSIONS, {
      service: "app2",
      tenants: [{ name: "acme", api_keys: [NEW_KEY] }],
    }),
  );
  await sleep(FIRST_SENT_MS);
  const attempts = [];
  while (deployment.nowMs < ackMs + FIRST_SENT_MS + SENT_FOR_MS) {
    for (const relay of deployment.relays) {
      for (const key of [OLD_KEY, NEW_KEY]) {
        attempts.push(deployment.send(relay, { path: "/orders/1", key }));
      }
    }
    await sleep(SEND_INTERVAL_MS);
  }
  await Promise.all(attempts);

  const serviceOf = new Map(
    deployment.runs.map(({ requestId, service }) => [requestId, service]),
  );
  const violations = [];
  for (const attempt of deployment.attempts) {
    const service = serviceOf.get(attempt.requestId);
    const what = service === undefined
      ? undefined
      : attempt.key === OLD_KEY
      ? "ran with a withdrawn key"
      : service === "app"
      ? "ran at the old service"
      : undefined;
    if (what !== undefined) {
      const lateMs = Math.round(attempt.sentMs - ackMs);
      violations.push(
        `${attempt.requestId} at ${attempt.relay}, sent ${lateMs} ms after ` +
          `the ack, ${what}`,
      );
    }
  }
  const answered = deployment.attempts.filter(({ status }) =>
    status === 200
  ).length;
  deployment.note(
    `${deployment.attempts.length} requests, ${answered} answered with 200`,
  );
  if (answered === 0) {
    throw new Error("no request was answered");
  }
  return violations;
});
