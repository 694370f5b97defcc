import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { performance } from "node:perf_hooks";
import type { RunningNode } from "@limpetshed/node";
import type { Settings } from "@limpetshed/settings";
import { request } from "undici";
import { Deployment, memberKeys } from "../../src/deployment.ts";
import type { NodeAddresses } from "../../src/node_files.ts";
import { startNodes } from "../../src/start_nodes.ts";
import { freePorts } from "./free_ports.ts";

const SEED = 7;

/** Real nodes on loopback before the stand-ins. */
export class TestDeployment {
  readonly deployment = new Deployment({ layout: "brodeline", seed: SEED });
  readonly members = memberKeys(3, SEED);
  readonly operatorKey = "test-operator";
  running: RunningNode[] = [];
  readonly directory = mkdtempSync(join(tmpdir(), "limpetshed-test-"));
  nodes: NodeAddresses[] = [];

  /** Starts the stand-ins and `count` nodes, and the first configuration. */
  async start(
    count: number,
    { change = () => undefined }: {
      change?: (settings: Settings) => void;
    } = {},
  ): Promise<void> {
    await this.deployment.start();
    const ports = await freePorts(3 * count);
    const { availabilityZones } = this.deployment.layout;
    this.nodes = Array.from({ length: count }, (_, index) => ({
      id: `node-${index + 1}`,
      availabilityZone: availabilityZones[index % availabilityZones.length]!,
      callers: `127.0.0.1:${ports[3 * index]}`,
      operators: `127.0.0.1:${ports[3 * index + 1]}`,
      peers: `127.0.0.1:${ports[3 * index + 2]}`,
    }));
    this.running = await startNodes({
      deployment: this.deployment,
      directory: this.directory,
      nodes: this.nodes,
      peerKey: "test-peer",
      operatorKey: this.operatorKey,
      change: (settings) => {
        settings.log.level = "silent";
        settings.limits.drain_notice = 100;
        change(settings);
      },
    });
    const { status, text } = await this.patch(
      0,
      this.deployment.firstConfig({ members: this.members, budget: 100_000 }),
    );
    if (status !== 200 || !text.includes(`"confirmed":${count}`)) {
      throw new Error(`first configuration: ${status} ${text}`);
    }
  }

  /** Waits until every owner knows all admissions, as some time after start. */
  async settled(): Promise<void> {
    const settling = () =>
      this.running.some(({ node }) =>
        node.endpointOwner.owned().some((owned) =>
          owned.isSettling(performance.now())
        )
      );
    while (settling()) {
      await new Promise((resolve) => setTimeout(resolve, 50));
    }
  }

  /** Submits a patch at the first node. */
  async patch(version: number, patch: object, headers = {}): Promise<Reply> {
    return await this.operator("/v1/config", {
      method: "PATCH",
      headers: { "if-match": `"${version}"`, ...headers },
      body: JSON.stringify(patch),
    });
  }

  /** Asks a node's operators' interface. */
  async operator(
    path: string,
    { method = "GET", headers = {}, body, node = 0 }: {
      method?: "GET" | "PATCH";
      headers?: Record<string, string>;
      body?: string;
      node?: number;
    } = {},
  ): Promise<Reply> {
    const res = await request(`http://${this.nodes[node]!.operators}${path}`, {
      method,
      headers: { authorization: `Bearer ${this.operatorKey}`, ...headers },
      ...(body === undefined ? {} : { body }),
    });
    return await readReply(res);
  }

  /** Calls a node as a member. */
  async call(
    path: string,
    { method = "POST", headers = {}, body, node = 0, member = 0 }: {
      method?: "GET" | "POST";
      headers?: Record<string, string>;
      body?: string;
      node?: number;
      member?: number;
    } = {},
  ): Promise<Reply> {
    const key = this.members[member]!.key;
    const res = await request(`http://${this.nodes[node]!.callers}${path}`, {
      method,
      headers: { authorization: `Bearer ${key}`, ...headers },
      ...(body === undefined ? {} : { body }),
    });
    return await readReply(res);
  }

  /** Stops everything. */
  async close(): Promise<void> {
    await Promise.all(this.running.map((node) => node.stop()));
    await this.deployment.close();
    rmSync(this.directory, { recursive: true, force: true });
  }
}

/** Status, headers and body of an answer. */
export interface Reply {
  status: number;
  headers: Record<string, string | string[] | undefined>;
  text: string;
}

async function readReply(
  res: Awaited<ReturnType<typeof request>>,
): Promise<Reply> {
  return {
    status: res.statusCode,
    headers: res.headers,
    text: await res.body.text(),
  };
}
