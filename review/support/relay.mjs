// Runs the relay as a process with the command of the deploy file.
import { spawn } from "node:child_process";
import { closeSync, openSync, readFileSync, writeFileSync } from "node:fs";
import * as http from "node:http";
import * as net from "node:net";
import { join } from "node:path";
import process from "node:process";

const ROOT = new URL("../../", import.meta.url).pathname;

/** The words of the command of the deploy file's role. */
function deployCommand() {
  const text = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
  return /^run = "(.*)"$/m.exec(text)[1].split(" ");
}

/** A free port of `ip`. */
function freePort(ip) {
  return new Promise((resolve, reject) => {
    const server = net.createServer();
    server.once("error", reject);
    server.listen(0, ip, () => {
      const { port } = server.address();
      server.close(() => resolve(port));
    });
  });
}

/** Ports that all relays of a deployment have in common. */
export async function relayPorts(ip) {
  const ports = new Set();
  while (ports.size < 4) {
    ports.add(await freePort(ip));
  }
  const [front, ready, control, internal] = ports;
  return { front, ready, control, internal };
}

/** A relay process. */
export class Relay {
  #options;
  #child;

  /** Options: `name`, `ip`, `zone`, `ports`, `seeds`, `store`, `directory`. */
  constructor(options) {
    this.#options = options;
    writeFileSync(this.#settingsPath, settings(options));
  }

  get name() {
    return this.#options.name;
  }

  get ip() {
    return this.#options.ip;
  }

  get port() {
    return this.#options.ports.front;
  }

  get isRunning() {
    return this.#child !== undefined;
  }

  get #settingsPath() {
    return join(this.#options.directory, `${this.name}.toml`);
  }

  start() {
    const [program, ...args] = deployCommand();
    const log = openSync(
      join(this.#options.directory, `${this.name}.log`),
      "a",
    );
    const { PATH, HOME, LANG } = process.env;
    const child = spawn(program, args, {
      cwd: ROOT,
      env: { PATH, HOME, LANG, LIMPETSHED_NODE_FILE: this.#settingsPath },
      stdio: ["ignore", log, log],
    });
    closeSync(log);
    const forget = () => {
      if (this.#child === child) {
        this.#child = undefined;
      }
    };
    child.once("error", forget);
    child.once("exit", forget);
    this.#child = child;
  }

  signal(name) {
    this.#child?.kill(name);
  }

  /** Kills the process and waits until it is gone. */
  async kill() {
    const child = this.#child;
    if (child !== undefined) {
      await new Promise((resolve) => {
        child.once("exit", resolve);
        child.kill("SIGKILL");
      });
    }
  }

  /** Asks whether the relay is ready, as the platform does. */
  isReady() {
    return new Promise((resolve) => {
      const req = http.get({
        host: this.ip,
        port: this.#options.ports.ready,
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

function settings({ name, ip, zone, ports, seeds, store }) {
  return `node_name = "${name}"
role = "router"
machine_class = "front"
serves = ["front","control"]
ip = "${ip}"
zone = "${zone}"
region = "r"
internal_ports = [${ports.internal},${ports.internal}]
seeds = ${JSON.stringify(seeds)}
first_start = true
counts_as_loss = false
discovery = "platform"
entry = "virtual_ip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","places","platform"]
[zones]
a = "r"
b = "r"
[listen]
front = "${ip}:${ports.front}"
ready = "${ip}:${ports.ready}"
control = "${ip}:${ports.control}"
[limits]
cpu_share = 1.0
cores = 1
memory_mb = 610
file_descriptors = 8200
link_mbps = 2000.0
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
budget_slack = 58
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
