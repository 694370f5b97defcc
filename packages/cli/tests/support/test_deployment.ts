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

/** Runs real nodes on loopback, with stand-ins for everything else. */
export class TestDeployment {
  readonly deployment = new Deployment({ layout: "brodeline", seed: SEED });
  readonly members = memberKeys(3, SEED);
  readonly operatorKey = "test-operator";
  runningNodes: RunningNode[] = [];
  readonly directory = mkdtempSync(join(tmpdir(), "limpetshed-test-"));
  nodes: NodeAddresses[] = [];

  /** Starts the stand-ins and `count` nodes and submits a configuration. */
  async start(
    count: number,
    { adjustSettings = () => undefined }: {
      adjustSettings?: (settings: Settings) => void;
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
    this.runningNodes = await startNodes({
      deployment: this.deployment,
      directory: this.directory,
      nodes: this.nodes,
      peerKey: "test-peer",
      operatorKey: this.operatorKey,
      adjustSettings: (settings) => {
        settings.log.level = "silent";
        settings.limits.drain_notice = 100;
        adjustSettings(settings);
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

  /** Waits until the settling period of every endpoint owner has ended. */
  async settled(): Promise<void> {
    const settling = () =>
      this.runningNodes.some(({ node }) =>
        node.endpointOwner.owned().some((owned) =>
          owned.isSettling(performance.now())
        )
      );
    while (settling()) {
      await new Promise((resolve) => setTimeout(resolve, 50));
    }
  }

  /** Submits a configuration patch to the first node. */
  async patch(
    version: number,
    patch: object,
    headers = {},
  ): Promise<TestResponse> {
    return await this.callOperatorApi("/v1/config", {
      method: "PATCH",
      headers: { "if-match": `"${version}"`, ...headers },
      body: JSON.stringify(patch),
    });
  }

  /** Calls the operator API of a node. */
  async callOperatorApi(
    path: string,
    { method = "GET", headers = {}, body, node = 0 }: {
      method?: "GET" | "PATCH";
      headers?: Record<string, string>;
      body?: string;
      node?: number;
    } = {},
  ): Promise<TestResponse> {
    const res = await request(`http://${this.nodes[node]!.operators}${path}`, {
      method,
      headers: { authorization: `Bearer ${this.operatorKey}`, ...headers },
      ...(body === undefined ? {} : { body }),
    });
    return await readResponse(res);
  }

  /** Calls a node with the API key of a member. */
  async callAsMember(
    path: string,
    { method = "POST", headers = {}, body, node = 0, member = 0 }: {
      method?: "GET" | "POST";
      headers?: Record<string, string>;
      body?: string;
      node?: number;
      member?: number;
    } = {},
  ): Promise<TestResponse> {
    const key = this.members[member]!.key;
    const res = await request(`http://${this.nodes[node]!.callers}${path}`, {
      method,
      headers: { authorization: `Bearer ${key}`, ...headers },
      ...(body === undefined ? {} : { body }),
    });
    return await readResponse(res);
  }

  /** Stops the nodes and stand-ins and deletes their files. */
  async close(): Promise<void> {
    await Promise.all(this.runningNodes.map((node) => node.stop()));
    await this.deployment.close();
    rmSync(this.directory, { recursive: true, force: true });
  }
}

/** Status, headers and body of a response. */
export interface TestResponse {
  status: number;
  headers: Record<string, string | string[] | undefined>;
  text: string;
}

async function readResponse(
  res: Awaited<ReturnType<typeof request>>,
): Promise<TestResponse> {
  return {
    status: res.statusCode,
    headers: res.headers,
    text: await res.body.text(),
  };
}
