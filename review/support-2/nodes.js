// Runs nodes as separate processes with the command of the deploy file, on
// loopback addresses of their own.
import { spawn } from "node:child_process";
import {
  createWriteStream,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import * as http from "node:http";
import * as net from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";

const ROOT = fileURLToPath(new URL("../..", import.meta.url));

const BASE_CONTRACTS = [
  "base",
  "drain",
  "config",
  "cost",
  "retry",
  "recover",
  "engine",
  "stream",
  "tenants",
  "places",
  "platform",
];

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** The `index`-th loopback address of this process. */
export function loopback(index) {
  const high = 1 + ((process.pid >> 8) & 0x7f);
  return `127.${high}.${process.pid & 0xff}.${1 + index}`;
}

/** The command that the deploy file names. */
function deployCommand() {
  const text = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
  return /^run = "(.*)"$/m.exec(text)[1].split(" ");
}

/** Below the ports that the system gives to connections. */
const FIRST_PORT = 20_000;
const PORT_COUNT = 10_000;
const PORTS_PER_NODE = 20;

function isFree(host, port) {
  return new Promise((resolve) => {
    const server = net.createServer();
    server.once("error", () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}

/** The first of some ports in a row that are free at all `hosts`. */
async function findFreePorts(hosts) {
  const start = process.pid * PORTS_PER_NODE % PORT_COUNT;
  for (let tried = 0; tried < PORT_COUNT; tried += PORTS_PER_NODE) {
    const first = FIRST_PORT + (start + tried) % PORT_COUNT;
    const ports = Array.from({ length: PORTS_PER_NODE }, (_, i) => first + i);
    const free = await Promise.all(
      hosts.flatMap((host) => ports.map((port) => isFree(host, port))),
    );
    if (free.every(Boolean)) {
      return first;
    }
  }
  throw new Error("no free ports");
}

export class Fleet {
  nodes = [];
  #directory = mkdtempSync(join(tmpdir(), "review-"));

  /** Prepares `count` nodes before the store at `store`. */
  async prepare(
    { count, store, zones = ["za", "zb", "zc"], contracts = [], bounds = {} },
  ) {
    const ips = Array.from({ length: count }, (_, i) => loopback(10 + i));
    const front = await findFreePorts(ips);
    const [ready, control, internal] = [front + 1, front + 2, front + 3];
    const seeds = ips.slice(0, 3).map((ip) => `${ip}:${control}`);
    ips.forEach((ip, index) => {
      const name = `front-${index + 1}`;
      const settings = join(this.#directory, `${name}.toml`);
      const zone = zones[index % zones.length];
      const write = (firstStart) =>
        writeFileSync(
          settings,
          nodeSettings({
            name,
            ip,
            zone,
            zones,
            seeds,
            ports: { front, ready, control, internal },
            store,
            contracts,
            bounds,
            firstStart,
          }),
        );
      this.nodes.push(
        new RelayProcess({
          name,
          settings,
          log: join(this.#directory, `${name}.log`),
          ip,
          front,
          ready,
          writeSettings: write,
        }),
      );
    });
  }

  async ready(timeoutMs = 15_000) {
    const endMs = performance.now() + timeoutMs;
    for (;;) {
      const all = await Promise.all(this.nodes.map((node) => node.isReady()));
      if (all.every(Boolean)) {
        return true;
      }
      if (performance.now() > endMs) {
        return false;
      }
      await sleep(50);
    }
  }

  /** Kills all nodes and removes their files. */
  async close({ keep = false } = {}) {
    await Promise.all(this.nodes.map((node) => node.kill()));
    if (!keep) {
      rmSync(this.#directory, { recursive: true, force: true });
    }
  }

  get directory() {
    return this.#directory;
  }
}

class RelayProcess {
  #options;
  #child;
  /** How the process ended by itself, if it did. */
  ends = [];
  #isKilled = false;
  #startCount = 0;

  constructor(options) {
    this.#options = options;
  }

  get name() {
    return this.#options.name;
  }

  get front() {
    return { host: this.#options.ip, port: this.#options.front };
  }

  get isRunning() {
    return this.#child !== undefined;
  }

  /** The last line of its log that tells of an error. */
  lastError() {
    return readFileSync(this.#options.log, "utf8").split("\n")
      .findLast((line) => /Error|"fatal"/.test(line)) ?? "no error is logged";
  }

  start() {
    // Before the start: the process must not read half a file.
    this.#options.writeSettings(this.#startCount === 0);
    this.#startCount += 1;
    const [program, ...args] = deployCommand();
    const { PATH, HOME, LANG } = process.env;
    const child = spawn(program, args, {
      cwd: ROOT,
      env: { PATH, HOME, LANG, LIMPETSHED_NODE_FILE: this.#options.settings },
      stdio: ["ignore", "pipe", "pipe"],
    });
    const log = createWriteStream(this.#options.log, { flags: "a" });
    child.stdout.pipe(log, { end: false });
    child.stderr.pipe(log, { end: false });
    this.#child = child;
    this.#isKilled = false;
    child.once("exit", (code, signal) => {
      if (!this.#isKilled) {
        this.ends.push({ code, signal });
      }
      if (this.#child === child) {
        this.#child = undefined;
      }
      log.end();
    });
  }

  signal(name) {
    this.#child?.kill(name);
  }

  async kill() {
    const child = this.#child;
    if (child === undefined) {
      return;
    }
    this.#isKilled = true;
    const gone = new Promise((resolve) => child.once("exit", resolve));
    child.kill("SIGKILL");
    await gone;
  }

  isReady() {
    const { ip, ready } = this.#options;
    return new Promise((resolve) => {
      const req = http.get({
        host: ip,
        port: ready,
        path: "/readiness",
        timeout: 500,
        agent: false,
      }, (res) => {
        res.resume();
        resolve(res.statusCode === 200);
      });
      req.on("timeout", () => req.destroy());
      req.on("error", () => resolve(false));
    });
  }
}

function nodeSettings(
  { name, ip, zone, zones, seeds, ports, store, contracts, bounds, firstStart },
) {
  const all = {
    seed_lag_s: 3,
    address_reuse_s: 2,
    contact_ms: 3000,
    ack_timeout_ms: 4000,
    catch_up_s: 4,
    drain_ms: 2000,
    grace_s: 8,
    loss_slack_ms: 200,
    configuration_apply_ms: 2000,
    rollback_slack_ms: 250,
    outer_bound_ms: 5000,
    strict_revocation: false,
    revoke_ms: 5000,
    retry_budget_ratio: 0.2,
    budget_window_s: 10,
    budget_slack: 58,
    cold_overage: 1.5,
    cold_slack: 5,
    evacuation_ms: 5000,
    recovery_s: 12,
    pass_ms: 120,
    reuse_window_s: 10,
    cap_multiplier: 2,
    ...bounds,
  };
  const lines = Object.entries(all).map(([key, value]) => `${key} = ${value}`);
  return `node_name = "${name}"
role = "router"
machine_class = "front"
serves = ["front", "control"]
ip = "${ip}"
zone = "${zone}"
region = "tunisia-south"
internal_ports = [${ports.internal}, ${ports.internal + 15}]
seeds = ${JSON.stringify(seeds)}
first_start = ${firstStart}
counts_as_loss = false
discovery = "platform"
entry = "virtual_ip"
heartbeat_ms = 1200
contracts = ${JSON.stringify([...BASE_CONTRACTS, ...contracts])}
[zones]
${zones.map((each) => `${each} = "tunisia-south"`).join("\n")}
[listen]
front = "${ip}:${ports.front}"
ready = "${ip}:${ports.ready}"
control = "${ip}:${ports.control}"
[limits]
cpu_share = 0.675
cores = 2
memory_mb = 610
file_descriptors = 8200
link_mbps = 2000.0
disk_mb = 0
[tolerance]
machines = 1
zones = 1
regions = 0
[bounds]
${lines.join("\n")}
[platform]
address = "${store}"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
min_ttl_ms = 1000
`;
}

/** A configuration as the operator writes it. */
export function makeConfig({ version = 1, routes, services }) {
  return {
    version,
    routes: routes.map((route) => ({
      host: "desk.example",
      timeout_ms: 12_000,
      target_latency_ms: 500,
      gap_target_ms: 300,
      priority: 0,
      max_attempts: 1,
      public: false,
      ...route,
    })),
    services: services.map((service) => ({
      health_path: "/health",
      connection_limit: 630,
      cold_per_s: 24,
      ...service,
    })),
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 1_048_576,
      header_timeout_ms: 3_000,
      idle_timeout_ms: 15_000,
    },
    tenants: [{ name: "acme", api_keys: ["key-of-acme"] }],
  };
}
