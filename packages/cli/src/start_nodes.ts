import { RunningNode } from "@limpetshed/node";
import { readSettings, type Settings } from "@limpetshed/settings";
import type { Deployment } from "./deployment.ts";
import { type NodeAddresses, writeNodeFiles } from "./node_files.ts";

/** Options of {@linkcode startNodes}. */
export interface StartNodesOptions {
  deployment: Deployment;
  /** Where settings and keys are written. */
  directory: string;
  nodes: readonly NodeAddresses[];
  peerKey: string;
  operatorKey: string;
  /** Changes the settings of each node before it starts. */
  change?: (settings: Settings) => void;
}

/**
 * Lists nodes in a deployment's vm list and starts them in this process, one
 * after the other. Where one cannot start, those before it are stopped.
 */
export async function startNodes(
  { deployment, directory, nodes, peerKey, operatorKey, change }:
    StartNodesOptions,
): Promise<RunningNode[]> {
  for (const { id, peers, availabilityZone } of nodes) {
    deployment.addNode({ id, address: peers, availabilityZone });
  }
  const files = { deployment, nodes, peerKey, operatorKey };
  const running: RunningNode[] = [];
  try {
    for (const path of writeNodeFiles(directory, files)) {
      const settings = readSettings(path);
      change?.(settings);
      running.push(await RunningNode.start(settings));
    }
    return running;
  } catch (err) {
    await Promise.all(running.map((node) => node.stop()));
    throw err;
  }
}
