// Starts the stand-ins and nodes as processes of their own, for measurements.
import { spawn } from "node:child_process";
import { appendFileSync, mkdtempSync, readFileSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";

const MAIN = "packages/cli/dist/src/main.js";
const READY_TRIES = 200;
const READY_PAUSE_MS = 100;

export const pause = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** Mean of some numbers. */
export const mean = (values) =>
  values.reduce((sum, value) => sum + value, 0) / values.length;

/** The platform, the endpoints and nodes, each group a process. */
export class ProcessFleet {
  #children = new Set();
  #directory = mkdtempSync(join(tmpdir(), "limpetshed-measure-"));

  /** Starts everything and submits the first configuration. */
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
    const info = await this.output(standIn);
    this.nodes = info.nodes;
    this.settings = info.settings;
    this.keys = info.keys;
    this.processes = this.settings.map((path) => {
      appendFileSync(path, `\n[routing]\npolicy = "${policy}"\n`);
      return this.spawn("serve", "--settings", path);
    });
    for (const node of this.nodes) {
      await this.untilReady(node);
    }
    this.operatorKey = readFileSync(
      join(this.#directory, "operator.key"),
      "utf8",
    ).trim();
    return await this.ask(this.nodes[0], "/v1/config", {
      method: "PATCH",
      headers: { "if-match": '"0"' },
      body: readFileSync(info.config, "utf8"),
    });
  }

  /** Runs the command line as a process. */
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

  /** Reads the JSON object that a process prints. */
  async output(child) {
    let text = "";
    for await (const chunk of child.stdout) {
      text += chunk;
      if (text.endsWith("}\n")) {
        return JSON.parse(text);
      }
    }
    throw new Error(`no output: ${text}`);
  }

  /** Sends a load; resolves to its summary. */
  async load({ rate, seconds, nodes = this.nodes }) {
    return await this.output(this.spawn(
      "load",
      "--urls",
      nodes.map(({ callers }) => `http://${callers}`).join(","),
      "--keys",
      this.keys,
      "--model",
      "monogram",
      "--rate",
      `${rate}`,
      "--duration",
      `${seconds}s`,
    ));
  }

  /** Asks a node's operators' interface. */
  async ask(node, path, init = {}) {
    const res = await fetch(`http://${node.operators}${path}`, {
      ...init,
      headers: {
        authorization: `Bearer ${this.operatorKey}`,
        ...init.headers,
      },
    });
    return await res.json();
  }

  /** Waits until a node is ready. */
  async untilReady(node) {
    for (let tries = 0; tries < READY_TRIES; tries += 1) {
      const url = `http://${node.operators}/readyz`;
      const res = await fetch(url).catch(() => undefined);
      if (res?.ok) {
        return;
      }
      await pause(READY_PAUSE_MS);
    }
    throw new Error(`${node.id} is not ready`);
  }

  /** Ends all processes. */
  close() {
    for (const child of this.#children) {
      child.kill("SIGCONT");
      child.kill("SIGKILL");
    }
    rmSync(this.#directory, { recursive: true, force: true });
  }
}
