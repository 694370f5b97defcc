// A small deployment on loopback: the store, workers, relays and clients.
import { createWriteStream, mkdtempSync, rmSync } from "node:fs";
import * as http from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { Relay, relayPorts } from "./relay.mjs";
import { Store } from "./store.mjs";
import { Worker } from "./worker.mjs";

/** Bounds of the settings, milliseconds. */
export const CONTACT_MS = 3_000;
export const CONFIG_APPLY_MS = 2_000;
export const DRAIN_MS = 2_000;

const HEARTBEAT_MS = 1_200;
const READY_TIMEOUT_MS = 20_000;
const MAX_DURATION_MS = 115_000;
const EXIT_CODE_NOT_RUN = 2;
export const HOST = "shop.example";

export function sleep(ms) {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

/** A deployment, and the record of what happened in it. */
export class Deployment {
  store = new Store();
  workers = [];
  relays = [];
  /** All runs at workers: `{ atMs, worker, requestId, tenant, path }`. */
  runs = [];
  /** All attempts of clients: `{ requestId, sentMs, relay, status, ... }`. */
  attempts = [];
  #record;
  #startMs = performance.now();
  #directory = mkdtempSync(join(tmpdir(), "limpetshed-review-"));
  #storeAddress = "";
  #ports;
  #seeds = [];
  #agent = new http.Agent({ keepAlive: true });
  #beats;
  #mayBeat = () => true;
  #afterBeat = [];
  #nextRequest = 1;

  /** `recordPath` is the file for the record. */
  constructor({ recordPath }) {
    this.#record = createWriteStream(recordPath);
  }

  /** Milliseconds since the start. */
  get nowMs() {
    return performance.now() - this.#startMs;
  }

  /** Adds a line to the record. */
  note(text) {
    this.#record.write(`${(this.nowMs / 1_000).toFixed(3)} ${text}\n`);
  }

  /** The loopback address number `index` of this run. */
  ip(index) {
    const { pid } = process;
    return `127.${1 + ((pid >> 14) & 0x7f)}.${(pid >> 6) & 0xff}.${
      1 + ((pid & 0x3f) << 2) % 200 + index % 50
    }`;
  }

  async startStore() {
    this.#storeAddress = await this.store.listen(this.ip(0));
    this.#beats = setInterval(() => this.beat(), HEARTBEAT_MS);
  }

  /** Starts a worker and enters it in the store. */
  async addWorker(options) {
    const worker = new Worker({
      ...options,
      ip: this.ip(20 + this.workers.length),
      onRun: (run) => {
        const entry = {
          atMs: this.nowMs,
          worker: run.worker.id,
          service: run.worker.service,
          requestId: run.requestId,
          tenant: run.tenant,
          path: run.path,
        };
        this.runs.push(entry);
        this.note(`run ${JSON.stringify(entry)}`);
      },
    });
    await worker.listen();
    this.workers.push(worker);
    this.writeEntry(worker);
    return worker;
  }

  /** Writes a worker's entry; it changes only with more than its sequence. */
  writeEntry(worker) {
    const entry = worker.nextEntry();
    const key = `servers/${worker.id}`;
    const known = this.store.get(key);
    const isSame = known !== undefined && known.address === entry.address &&
      known.state === entry.state && known.born === entry.born;
    if (!isSame) {
      const revision = this.store.put(key, entry);
      this.note(`entry ${JSON.stringify({ key, revision, ...entry })}`);
    }
  }

  /** Resolves after the next heartbeat of the workers. */
  nextBeat() {
    return new Promise((resolve) => this.#afterBeat.push(resolve));
  }

  /** Lets each worker write its entry, unless the store is away. */
  beat() {
    if (this.#mayBeat()) {
      this.workers.forEach((worker) => this.writeEntry(worker));
    }
    this.#afterBeat.splice(0).forEach((resolve) => resolve());
  }

  /** Sets whether workers reach the store. */
  setBeats(isOn) {
    this.#mayBeat = () => isOn;
  }

  /** The operator writes a configuration; returns the time of the ack. */
  writeConfig(config) {
    const revision = this.store.put("op/config", config);
    this.note(`config version ${config.version}, revision ${revision}: acked`);
    return this.nowMs;
  }

  /** Starts relays, one for each zone that is named. */
  async startRelays(zones) {
    this.#ports = await relayPorts(this.ip(1));
    this.#seeds = zones.slice(0, 3).map((_, index) =>
      `${this.ip(1 + index)}:${this.#ports.control}`
    );
    zones.forEach((zone, index) => {
      const relay = new Relay({
        name: `front-${zone}-${index + 1}`,
        ip: this.ip(1 + index),
        zone,
        ports: this.#ports,
        seeds: this.#seeds,
        store: this.#storeAddress,
        directory: this.#directory,
      });
      relay.start();
      this.relays.push(relay);
    });
    await this.waitUntilReady();
    this.note("all relays are ready");
  }

  /** Waits until all relays are ready. */
  async waitUntilReady() {
    const untilMs = performance.now() + READY_TIMEOUT_MS;
    for (;;) {
      const ready = await Promise.all(
        this.relays.map((relay) => relay.isReady()),
      );
      if (ready.every(Boolean)) {
        return;
      }
      if (performance.now() > untilMs) {
        throw new Error("the relays did not become ready");
      }
      await sleep(50);
    }
  }

  /** Sends a client's request to a relay; resolves to the attempt with its
   * answer. */
  send(
    relay,
    { method = "POST", path, key, deadlineMs = 1_500, headers = {}, onData },
  ) {
    const requestId = `r${process.pid.toString(16)}-${this.#nextRequest}`;
    this.#nextRequest += 1;
    const attempt = {
      requestId,
      relay: relay.name,
      path,
      key,
      sentMs: this.nowMs,
      status: 0,
    };
    this.attempts.push(attempt);
    this.note(`sent ${JSON.stringify(attempt)}`);
    return new Promise((resolve) => {
      const finish = () => {
        clearTimeout(timer);
        attempt.endedMs = this.nowMs;
        this.note(`answered ${requestId} ${attempt.status}`);
        resolve(attempt);
      };
      const req = http.request({
        host: relay.ip,
        port: relay.port,
        agent: onData === undefined ? this.#agent : false,
        method,
        path,
        headers: {
          host: HOST,
          "limpetshed-attempt-id": requestId,
          "limpetshed-deadline-ms": String(deadlineMs),
          authorization: `Bearer ${key}`,
          ...headers,
        },
      }, (res) => {
        attempt.status = res.statusCode;
        attempt.retryAfter = res.headers["retry-after"];
        res.on("data", (chunk) => onData?.(attempt, chunk));
        res.on("error", () => undefined);
        res.on("close", () => {
          attempt.isComplete = res.complete;
          finish();
        });
      });
      const timer = setTimeout(() => req.destroy(), deadlineMs + 500);
      req.on("error", finish);
      req.end(method === "POST" ? `body of ${requestId}` : undefined);
    });
  }

  /** Ends all processes and servers. */
  async close() {
    clearInterval(this.#beats);
    this.#agent.destroy();
    await Promise.all(this.relays.map((relay) => relay.kill()));
    this.workers.forEach((worker) => worker.close());
    this.store.close();
    if (process.env.KEEP_LOGS === undefined) {
      rmSync(this.#directory, { recursive: true, force: true });
    } else {
      console.log(this.#directory);
    }
    await new Promise((resolve) => this.#record.end(resolve));
  }
}

/** A configuration with these routes, services and tenants. */
export function makeConfig({ version, routes, services, tenants }) {
  return {
    version,
    routes: routes.map((route) => ({
      name: `r-${route.prefix.replaceAll("/", "")}`,
      host: HOST,
      kind: "unsafe",
      timeout_ms: 1_500,
      target_latency_ms: 200,
      priority: 1,
      max_attempts: 1,
      public: false,
      ...route,
    })),
    services: services.map((name) => ({
      name,
      health_path: "/health",
      connection_limit: 1_000,
    })),
    tenants,
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 65_536,
      header_timeout_ms: 3_000,
      idle_timeout_ms: 15_000,
    },
  };
}

/** Runs a case: exits with 1 if it finds violations, 0 if not, and 2 if it could
 * not run. `play` gets the deployment and whether the disruption is on, and
 * resolves to the violations as lines. */
export async function runCase(caseUrl, play) {
  const deployment = new Deployment({
    recordPath: new URL("record.txt", caseUrl).pathname,
  });
  const isTrouble = process.env.TROUBLE !== "0";
  let isEnding = false;
  const end = async (code, lines) => {
    if (!isEnding) {
      isEnding = true;
      lines.forEach((line) => deployment.note(line));
      await deployment.close();
      process.exit(code);
    }
  };
  const fail = (reason) => {
    console.log(`could not run: ${reason}`);
    return end(EXIT_CODE_NOT_RUN, [`could not run: ${reason}`]);
  };
  process.on("uncaughtException", (err) => void fail(err.stack));
  process.on("SIGTERM", () => void fail("stopped"));
  process.on("SIGINT", () => void fail("stopped"));
  setTimeout(() => void fail("too long"), MAX_DURATION_MS).unref();
  try {
    await deployment.startStore();
    const violations = await play(deployment, { isTrouble });
    const verdict = `${violations.length} violations` +
      (isTrouble ? "" : " without the disruption");
    violations.slice(0, 5).forEach((line) => console.log(line));
    console.log(verdict);
    await end(violations.length > 0 ? 1 : 0, [
      ...violations.map((line) => `VIOLATION ${line}`),
      verdict,
    ]);
  } catch (err) {
    await fail(err.stack);
  }
}
