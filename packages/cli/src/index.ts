/** The limpetshed command line. */
export {
  Deployment,
  type LayoutName,
  LAYOUTS,
  memberKeys,
} from "./deployment.ts";
export { nodeAddresses, writeNodeFiles } from "./node_files.ts";
export { COMMANDS, runCommand } from "./run_command.ts";
export { startNodes, type StartNodesOptions } from "./start_nodes.ts";
