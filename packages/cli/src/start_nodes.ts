import { RunningNode } from "@limpetshed/node";
import { readSettings, type Settings } from "@limpetshed/settings";
import type { Deployment } from "./deployment.ts";
import { type NodeAddresses, writeNodeFiles } from "./node_files.ts";

/** Options of {@linkcode startNodes}. */
export interface StartNodesOptions {
  deployment: Deployment;
  /** Directory to which settings and keys are written. */
  directory: string;
  nodes: readonly NodeAddresses[];
  peerKey: string;
  operatorKey: string;
  /** Modifies the settings of each node before it starts. */
  adjustSettings?: (settings: Settings) => void;
}

/**
 * Adds nodes to a deployment's vm list and starts them in this process, one
 * after the other. If a node fails to start, the earlier ones are stopped.
 */
export async function startNodes(
  {
    deployment,
    directory,
    nodes,
    peerKey,
    operatorKey,
    adjustSettings: adjustSettings,
  }: StartNodesOptions,
): Promise<RunningNode[]> {
  for (const { id, peers, availabilityZone } of nodes) {
    deployment.addNode({ id, address: peers, availabilityZone });
  }
  const files = { deployment, nodes, peerKey, operatorKey };
  const runningNodes: RunningNode[] = [];
  try {
    for (const path of writeNodeFiles(directory, files)) {
      const settings = readSettings(path);
      adjustSettings?.(settings);
      runningNodes.push(await RunningNode.start(settings));
    }
    return runningNodes;
  } catch (err) {
    await Promise.all(runningNodes.map((node) => node.stop()));
    throw err;
  }
}
