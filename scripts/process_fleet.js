// Runs the stand-ins and nodes as separate processes, for measurements.
import { spawn } from "node:child_process";
import { appendFileSync, mkdtempSync, readFileSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";

const MAIN = "packages/cli/dist/src/main.js";
const MAX_READY_ATTEMPTS = 200;
const READY_POLL_INTERVAL_MS = 100;

/** Resolves after `ms` milliseconds. */
export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** Arithmetic mean of a non-empty list. */
export const mean = (values) =>
  values.reduce((sum, value) => sum + value, 0) / values.length;

/**
 * Runs the stand-ins for the platform and the endpoints in one process, and
 * each node in its own.
 */
export class ProcessFleet {
  #children = new Set();
  #directory = mkdtempSync(join(tmpdir(), "limpetshed-measure-"));

  /**
   * Starts the stand-ins and the nodes, waits until the nodes are ready, and
   * submits the first configuration; resolves to the response.
   */
  async start({ nodes, models, members, policy = "owner" }) {
    const standIn = this.spawn(
      "stand-in",
      "--dir",
      this.#directory,
      "--nodes",
      `${nodes}`,
      "--models",
      `${models}`,
      "--members",
      `${members}`,
      "--budget",
      "100000000",
    );
    const deployment = await this.readOutput(standIn);
    this.nodes = deployment.nodes;
    this.settingsFiles = deployment.settings;
    this.keysFile = deployment.keys;
    this.nodeProcesses = this.settingsFiles.map((path) => {
      appendFileSync(path, `\n[routing]\npolicy = "${policy}"\n`);
      return this.spawn("serve", "--settings", path);
    });
    for (const node of this.nodes) {
      await this.waitUntilReady(node);
    }
    this.operatorKey = readFileSync(
      join(this.#directory, "operator.key"),
      "utf8",
    ).trim();
    return await this.callOperatorApi(this.nodes[0], "/v1/config", {
      method: "PATCH",
      headers: { "if-match": '"0"' },
      body: readFileSync(deployment.config, "utf8"),
    });
  }

  /** Runs a command of the command-line interface in a child process. */
  spawn(...args) {
    const child = spawn(process.execPath, [
      "--max-semi-space-size=2",
      MAIN,
      ...args,
    ], { stdio: ["ignore", "pipe", "inherit"] });
    this.#children.add(child);
    child.once("exit", () => this.#children.delete(child));
    return child;
  }

  /** Reads the JSON object that a child process prints to stdout. */
  async readOutput(child) {
    let text = "";
    for await (const chunk of child.stdout) {
      text += chunk;
      if (text.endsWith("}\n")) {
        return JSON.parse(text);
      }
    }
    throw new Error(`no output: ${text}`);
  }

  /** Runs the load generator; resolves to its summary. */
  async runLoad({ rate, seconds, nodes = this.nodes }) {
    return await this.readOutput(this.spawn(
      "load",
      "--urls",
      nodes.map(({ callers }) => `http://${callers}`).join(","),
      "--keys",
      this.keysFile,
      "--model",
      "monogram",
      "--rate",
      `${rate}`,
      "--duration",
      `${seconds}s`,
    ));
  }

  /** Calls the operators' interface of a node; resolves to the JSON body. */
  async callOperatorApi(node, path, init = {}) {
    const res = await fetch(`http://${node.operators}${path}`, {
      ...init,
      headers: {
        authorization: `Bearer ${this.operatorKey}`,
        ...init.headers,
      },
    });
    return await res.json();
  }

  /** Polls a node's `/readyz` until it succeeds; throws after about 20 s. */
  async waitUntilReady(node) {
    for (let attempt = 0; attempt < MAX_READY_ATTEMPTS; attempt += 1) {
      const url = `http://${node.operators}/readyz`;
      const res = await fetch(url).catch(() => undefined);
      if (res?.ok) {
        return;
      }
      await sleep(READY_POLL_INTERVAL_MS);
    }
    throw new Error(`${node.id} is not ready`);
  }

  /** Kills all child processes and removes the temporary directory. */
  close() {
    for (const child of this.#children) {
      child.kill("SIGCONT");
      child.kill("SIGKILL");
    }
    rmSync(this.#directory, { recursive: true, force: true });
  }
}
