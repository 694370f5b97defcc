// Stand-in of the platform: loopback addresses, the settings of a machine, the
// processes on it, and the record of a case.
import { spawn } from "node:child_process";
import { once } from "node:events";
import * as fs from "node:fs";
import * as http from "node:http";
import * as net from "node:net";
import { tmpdir } from "node:os";
import * as path from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";

export const REPOSITORY = path.resolve(
  path.dirname(fileURLToPath(import.meta.url)),
  "../..",
);
/** Whether the disruption of the case takes place. */
export const TROUBLE = process.env.TROUBLE !== "0";
export const EXIT = { held: 0, broken: 1, notRun: 2 };

const PORTS = { front: 8227, ready: 8220, control: 8229, metrics: 9464 };
const LIMIT_MS = 115_000;
const START_LIMIT_MS = 20_000;
const RESTART_DELAY_MS = 500;
const MEMORY_CHECK_MS = 50;

export function sleep(ms) {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

/** Loopback addresses of their own, so that machines have equal ports. */
const block = `127.${20 + Math.floor(Math.random() * 200)}.${
  Math.floor(Math.random() * 250)
}`;
let lastHost = 1;
export function nextAddress() {
  lastHost += 1;
  return `${block}.${lastHost}`;
}

/** Writes what was sent, answered and run to `record.txt` beside the case. */
export class Record {
  #file;
  #startMs = performance.now();

  constructor(caseUrl) {
    this.#file = path.join(
      path.dirname(fileURLToPath(caseUrl)),
      "record.txt",
    );
    fs.writeFileSync(this.#file, "");
  }

  line(text) {
    const seconds = ((performance.now() - this.#startMs) / 1_000).toFixed(3);
    fs.appendFileSync(this.#file, `${seconds} ${text}\n`);
  }

  say(text) {
    this.line(text);
    process.stdout.write(`${text}\n`);
  }
}

/** Command of the only role in the deploy file, split at spaces. */
function runCommand() {
  const file = path.join(REPOSITORY, "deploy/system.toml");
  const [, command] = /^run = "(.*)"$/m.exec(fs.readFileSync(file, "utf8"));
  return command.split(" ");
}

/** Settings of a machine, with the fields and figures of a small site. */
function settings({ name, ip, zone, seeds, store, limits, firstStart }) {
  return `node_name = "${name}"
role = "router"
machine_class = "front"
serves = ["front", "control"]
ip = "${ip}"
zone = "${zone}"
region = "region-1"
internal_ports = [7340, 7355]
seeds = ${JSON.stringify(seeds)}
first_start = ${firstStart}
counts_as_loss = false
discovery = "platform"
entry = "virtual_ip"
heartbeat_ms = 1200
contracts = ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "places", "platform"]
[zones]
zone-a = "region-1"
zone-b = "region-1"
[listen]
front = "${ip}:${PORTS.front}"
ready = "${ip}:${PORTS.ready}"
control = "${ip}:${PORTS.control}"
[limits]
cpu_share = 0.675
cores = 1
memory_mb = ${limits.memoryMb}
file_descriptors = ${limits.fileDescriptors}
link_mbps = 1000.0
disk_mb = 0
[tolerance]
machines = 1
zones = 1
regions = 0
[bounds]
seed_lag_s = 3
address_reuse_s = 2
contact_ms = 3000
ack_timeout_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
configuration_apply_ms = 2000
rollback_slack_ms = 250
outer_bound_ms = 5000
strict_revocation = false
revoke_ms = 5000
retry_budget_ratio = 0.2
budget_window_s = 10
budget_slack = 52
cold_overage = 1.5
cold_slack = 5
evacuation_ms = 5000
recovery_s = 12
pass_ms = 120
reuse_window_s = 10
cap_multiplier = 2
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

/** A machine with one process of the project, which is started again when it
 * ends, and killed when it exceeds the memory of the machine. */
export class Machine {
  name;
  ip = nextAddress();
  /** How the process ended without a signal of this platform. */
  ownEnds = [];
  peakMb = 0;
  #options;
  #child;
  #isClosed = false;
  #hasStarted = false;
  #memoryCheck;
  #isSignalled = false;

  constructor(options) {
    this.#options = options;
    this.name = options.name;
  }

  get pid() {
    return this.#child?.pid;
  }

  get control() {
    return `${this.ip}:${PORTS.control}`;
  }

  get front() {
    return { host: this.ip, port: PORTS.front };
  }

  /** Starts the process with the command of the deploy file. */
  start() {
    const { directory, record, limits } = this.#options;
    const file = path.join(directory, `${this.name}.toml`);
    fs.writeFileSync(
      file,
      settings({
        ...this.#options,
        ip: this.ip,
        firstStart: !this.#hasStarted,
      }),
    );
    this.#hasStarted = true;
    this.#isSignalled = false;
    const [program, ...args] = runCommand();
    const log = fs.openSync(path.join(directory, `${this.name}.log`), "a");
    const { PATH, HOME = "/", LANG = "C" } = process.env;
    const child = spawn(program, args, {
      cwd: REPOSITORY,
      env: { PATH, HOME, LANG, LIMPETSHED_NODE_FILE: file },
      stdio: ["ignore", log, log],
    });
    fs.closeSync(log);
    this.#child = child;
    record.line(`${this.name} starts`);
    let overMb = 0;
    const memoryCheck = setInterval(() => {
      const mb = residentMb(child.pid);
      this.peakMb = Math.max(this.peakMb, mb);
      if (mb > limits.memoryMb && overMb === 0) {
        overMb = mb;
        child.kill("SIGKILL");
      }
    }, MEMORY_CHECK_MS);
    this.#memoryCheck = memoryCheck;
    child.once("exit", (code, signal) => {
      clearInterval(memoryCheck);
      const how = overMb > 0
        ? `memory over the limit: ${overMb} MB of ${limits.memoryMb} MB`
        : `code ${code}, signal ${signal}`;
      record.line(`${this.name} ends: ${how}`);
      if (this.#isClosed) {
        return;
      }
      if (!this.#isSignalled) {
        this.ownEnds.push(how);
      }
      setTimeout(() => this.#isClosed || this.start(), RESTART_DELAY_MS);
    });
  }

  /** Sends a signal by which the platform ends or notifies the process. */
  signal(name, { endsIt = true } = {}) {
    this.#isSignalled ||= endsIt;
    this.#options.record.line(`${this.name} gets ${name}`);
    this.#child.kill(name);
  }

  /** Whether the process answers the platform's check with 200. */
  isReady() {
    return new Promise((resolve) => {
      const req = http.get({
        host: this.ip,
        port: PORTS.ready,
        path: "/readiness",
        agent: false,
        timeout: 500,
      }, (res) => {
        res.resume();
        resolve(res.statusCode === 200);
      });
      req.on("timeout", () => req.destroy());
      req.on("error", () => resolve(false));
    });
  }

  async waitUntilReady() {
    const endMs = performance.now() + START_LIMIT_MS;
    while (!await this.isReady()) {
      if (performance.now() > endMs) {
        throw new Error(`${this.name} is not ready in time`);
      }
      await sleep(50);
    }
  }

  async close() {
    this.#isClosed = true;
    clearInterval(this.#memoryCheck);
    const child = this.#child;
    if (child !== undefined && child.exitCode === null && !child.signalCode) {
      child.kill("SIGKILL");
      await once(child, "exit");
    }
  }

  kill() {
    this.#isClosed = true;
    this.#child?.kill("SIGKILL");
  }
}

function residentMb(pid) {
  try {
    const status = fs.readFileSync(`/proc/${pid}/status`, "utf8");
    const [, kilobytes] = /^VmRSS:\s+(\d+) kB$/m.exec(status) ?? [];
    return Math.round(Number(kilobytes ?? 0) * 1_024 / 1e6);
  } catch {
    return 0;
  }
}

/** Fails if another process has a port that the machines need. */
async function expectFreePorts(ip) {
  for (const port of Object.values(PORTS)) {
    const server = net.createServer();
    server.listen(port, ip);
    await once(server, "listening");
    server.close();
    await once(server, "close");
  }
}

/** Runs a case, ends all that it started, and exits with its result. */
export async function runCase(caseUrl, play) {
  const record = new Record(caseUrl);
  const directory = fs.mkdtempSync(path.join(tmpdir(), "limpetshed-review-"));
  const machines = [];
  const finish = (code) => {
    machines.forEach((machine) => machine.kill());
    fs.rmSync(directory, { recursive: true, force: true });
    process.exit(code);
  };
  ["SIGINT", "SIGTERM"].forEach((name) =>
    process.on(name, () => finish(EXIT.notRun))
  );
  // Node.js would exit with 1, which stands for a broken rule.
  ["uncaughtException", "unhandledRejection"].forEach((name) =>
    process.on(name, (err) => {
      record.line(`the case could not run: ${err?.stack ?? err}`);
      finish(EXIT.notRun);
    })
  );
  setTimeout(() => {
    record.say("the case did not end in time");
    finish(EXIT.notRun);
  }, LIMIT_MS);
  try {
    record.say(`disruption: ${TROUBLE ? "yes" : "no"}`);
    await expectFreePorts(nextAddress());
    const isBroken = await play({
      record,
      /** Creates machines that know each other as seeds. */
      makeMachines: (count, { store, limits }) => {
        const seeds = [];
        for (let index = 0; index < count; index += 1) {
          const machine = new Machine({
            name: `front-${index + 1}`,
            zone: index % 2 === 0 ? "zone-a" : "zone-b",
            seeds,
            store,
            limits,
            directory,
            record,
          });
          seeds.push(machine.control);
          machines.push(machine);
        }
        return [...machines];
      },
    });
    await Promise.all(machines.map((machine) => machine.close()));
    finish(isBroken ? EXIT.broken : EXIT.held);
  } catch (err) {
    record.say(`the case could not run: ${err.stack ?? err}`);
    finish(EXIT.notRun);
  }
}
