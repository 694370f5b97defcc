import { mkdirSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { sha256Hex } from "@limpetshed/hashing";
import type { Deployment } from "./deployment.ts";

/** Identity and listen addresses of a node. */
export interface NodeAddresses {
  id: string;
  availabilityZone: string;
  callers: string;
  operators: string;
  peers: string;
}

/** Operator name in the key file written by {@linkcode writeNodeFiles}. */
export const OPERATOR_NAME = "operator";

/** Writes settings and key files for nodes; returns the settings paths. */
export function writeNodeFiles(
  directory: string,
  { deployment, nodes, peerKey, operatorKey }: {
    deployment: Deployment;
    nodes: readonly NodeAddresses[];
    peerKey: string;
    operatorKey: string;
  },
): string[] {
  mkdirSync(directory, { recursive: true });
  const writePrivateFile = (name: string, content: string): string => {
    const path = join(directory, name);
    writeFileSync(path, content, { mode: 0o600 });
    return path;
  };
  const peerKeyFile = writePrivateFile("peer.key", `${peerKey}\n`);
  writePrivateFile("operator.key", `${operatorKey}\n`);
  const operatorsFile = writePrivateFile(
    "operators.txt",
    `${OPERATOR_NAME} ${sha256Hex(operatorKey)}\n`,
  );
  return nodes.map((node) =>
    writePrivateFile(
      `${node.id}.toml`,
      `[node]
id = ${JSON.stringify(node.id)}
region = ${JSON.stringify(deployment.layout.region)}
availability_zone = ${JSON.stringify(node.availabilityZone)}

[listen]
callers = "${node.callers}"
operators = "${node.operators}"
peers = "${node.peers}"

[platform]
store = "${deployment.storeUrl}"
vm_list = "${deployment.vmListUrl}"

[secrets]
peer_key_file = ${JSON.stringify(peerKeyFile)}
operator_keys_file = ${JSON.stringify(operatorsFile)}

[log]
level = "warn"
`,
    )
  );
}

/** Assigns loopback addresses to `count` nodes, from port `portBase` on. */
export function nodeAddresses(
  count: number,
  { portBase, zones }: { portBase: number; zones: readonly string[] },
): NodeAddresses[] {
  return Array.from({ length: count }, (_, index) => {
    const port = portBase + 3 * index;
    return {
      id: `node-${index + 1}`,
      availabilityZone: zones[index % zones.length] ?? "",
      callers: `127.0.0.1:${port}`,
      operators: `127.0.0.1:${port + 1}`,
      peers: `127.0.0.1:${port + 2}`,
    };
  });
}
