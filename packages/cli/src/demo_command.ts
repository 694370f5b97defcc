import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { renderHtmlReport, runLoad } from "@limpetshed/load";
import type { RunningNode } from "@limpetshed/node";
import type { Command } from "./command.ts";
import { CommandError } from "./command_error.ts";
import { Deployment, memberKeys } from "./deployment.ts";
import { nodeAddresses } from "./node_files.ts";
import {
  durationOptionMs,
  positiveNumberOption,
  stringOption,
} from "./options.ts";
import { printJson, printLine } from "./output.ts";
import { parseLayoutName } from "./stand_in_command.ts";
import { startNodes } from "./start_nodes.ts";

const OPERATOR_KEY = "demo-operator";

/** `demo`: runs nodes, stand-ins and a load generator in one process. */
export const demoCommand: Command = {
  name: "demo",
  usage: "[--layout brodeline|vozes] [--nodes N] [--rate N] " +
    "[--duration 10s] [--seed N] [--port N] [--html FILE]",
  summary: "Run nodes and stand-ins in one process under a load of chats.",
  options: {
    layout: { type: "string" },
    nodes: { type: "string" },
    rate: { type: "string" },
    duration: { type: "string" },
    seed: { type: "string" },
    port: { type: "string" },
    html: { type: "string" },
  },
  run: async (parsed) => {
    const layout = parseLayoutName(stringOption(parsed, "layout", "brodeline"));
    const seed = positiveNumberOption(parsed, "seed", 1);
    const portBase = positiveNumberOption(parsed, "port", 22_000);
    const nodeCount = positiveNumberOption(parsed, "nodes", 4);
    const ratePerSecond = positiveNumberOption(parsed, "rate", 20);
    const loadDurationMs = durationOptionMs(parsed, "duration", "10s");
    const directory = mkdtempSync(join(tmpdir(), "limpetshed-demo-"));
    const deployment = new Deployment({ layout, seed });
    let runningNodes: RunningNode[] = [];
    try {
      await deployment.start();
      const nodes = nodeAddresses(nodeCount, {
        portBase,
        zones: deployment.layout.availabilityZones,
      });
      runningNodes = await startNodes({
        deployment,
        directory,
        nodes,
        peerKey: "demo-peer",
        operatorKey: OPERATOR_KEY,
      });
      const members = memberKeys(10, seed);
      await submitFirstConfig(
        runningNodes[0]!,
        deployment.firstConfig({ members, budget: 1_000_000 }),
      );
      printLine(
        `${runningNodes.length} nodes, configuration version 1 active`,
      );
      const summary = await runLoad({
        urls: nodes.map(({ callers }) => `http://${callers}`),
        keys: members.map(({ key }) => key),
        ratePerSecond,
        durationMs: loadDurationMs,
        chats: { seed, models: [deployment.layout.modelService] },
      });
      const html = stringOption(parsed, "html", "");
      if (html !== "") {
        writeFileSync(html, renderHtmlReport(summary));
      }
      const { perSecond: _, ...totals } = summary;
      printJson({ ...totals, counters: sumCounters(runningNodes) });
    } finally {
      await Promise.all(runningNodes.map((node) => node.stop()));
      await deployment.close();
      rmSync(directory, { recursive: true, force: true });
    }
  },
};

/** Sums the counters that the demo prints over all nodes. */
function sumCounters(
  runningNodes: readonly RunningNode[],
): Record<string, number> {
  const sums: Record<string, number> = {};
  for (const { metrics } of runningNodes) {
    for (const [name, value] of Object.entries(metrics.snapshot())) {
      if (/^(refusal|retry|admission|share|invariant)\./.test(name)) {
        sums[name] = (sums[name] ?? 0) + value;
      }
    }
  }
  return sums;
}

async function submitFirstConfig(
  runningNode: RunningNode,
  patch: object,
): Promise<void> {
  const { configRepository: keeper } = runningNode.node;
  await keeper.patch({
    expectedVersion: 0,
    id: "demo-first",
    author: "demo",
    patch: JSON.parse(JSON.stringify(patch)) as never,
  });
  const deadline = Date.now() + 5_000;
  for (;;) {
    const nodeVersions = await runningNode.node.configSync.status();
    if (nodeVersions.every(({ version }) => version === 1)) {
      return;
    }
    if (Date.now() > deadline) {
      throw new CommandError(
        "failed",
        "not every node received the configuration within 5 s",
      );
    }
    await new Promise((resolve) => setTimeout(resolve, 50));
  }
}
