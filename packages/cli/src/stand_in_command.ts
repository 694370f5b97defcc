import { writeFileSync } from "node:fs";
import { join } from "node:path";
import process from "node:process";
import type { Command } from "./command.ts";
import { CommandError } from "./command_error.ts";
import {
  Deployment,
  type LayoutName,
  LAYOUTS,
  memberKeys,
} from "./deployment.ts";
import { nodeAddresses, writeNodeFiles } from "./node_files.ts";
import {
  positiveNumberOption,
  requiredOption,
  stringOption,
} from "./options.ts";
import { printJson } from "./output.ts";

const NODE_PORT_OFFSET = 1_000;

/** `stand-in`: runs stand-ins for the platform and endpoints on loopback. */
export const standInCommand: Command = {
  name: "stand-in",
  usage: "--dir DIR [--layout brodeline|vozes] [--nodes N] [--members N] " +
    "[--budget TOKENS] [--models N] [--seed N] [--port N]",
  summary: "Run stand-ins for the platform and endpoints; write settings.",
  options: {
    dir: { type: "string", short: "d" },
    layout: { type: "string" },
    nodes: { type: "string" },
    members: { type: "string" },
    budget: { type: "string" },
    models: { type: "string" },
    seed: { type: "string" },
    port: { type: "string" },
  },
  run: async (parsed) => {
    const directory = requiredOption(parsed, "dir");
    const layout = parseLayoutName(stringOption(parsed, "layout", "brodeline"));
    const seed = positiveNumberOption(parsed, "seed", 1);
    const port = positiveNumberOption(parsed, "port", 21_000);
    const nodeCount = positiveNumberOption(parsed, "nodes", 4);
    const memberCount = positiveNumberOption(parsed, "members", 10);
    const budget = positiveNumberOption(parsed, "budget", 1_000_000);
    const { modelEndpoints: defaultCount } = LAYOUTS[layout];
    const deployment = new Deployment({
      layout,
      seed,
      portBase: port,
      modelEndpoints: positiveNumberOption(parsed, "models", defaultCount),
    });
    await deployment.start();
    const nodes = nodeAddresses(nodeCount, {
      portBase: port + NODE_PORT_OFFSET,
      zones: deployment.layout.availabilityZones,
    });
    nodes.forEach(({ id, peers, availabilityZone }) =>
      deployment.addNode({ id, address: peers, availabilityZone })
    );
    const settings = writeNodeFiles(directory, {
      deployment,
      nodes,
      peerKey: `peer-${seed}`,
      operatorKey: `operator-${seed}`,
    });
    const members = memberKeys(memberCount, seed);
    const config = join(directory, "first_config.json");
    writeFileSync(
      config,
      JSON.stringify(deployment.firstConfig({ members, budget }), null, 2),
    );
    const keys = join(directory, "member_keys.txt");
    writeFileSync(keys, members.map(({ key }) => `${key}\n`).join(""));
    printJson({ settings, config, keys, nodes });
    await new Promise<void>((resolve) => {
      process.once("SIGTERM", () => resolve());
      process.once("SIGINT", () => resolve());
    });
    await deployment.close();
  },
};

/** Returns `name` if it is a built-in layout; throws a usage error otherwise. */
export function parseLayoutName(name: string): LayoutName {
  if (name in LAYOUTS) {
    return name as LayoutName;
  }
  const known = Object.keys(LAYOUTS).join(", ");
  throw new CommandError(
    "usage",
    `--layout: expected one of ${known}, got '${name}'`,
  );
}
