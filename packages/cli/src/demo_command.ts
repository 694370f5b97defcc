import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { renderHtmlReport, runLoad } from "@limpetshed/load";
import type { RunningNode } from "@limpetshed/node";
import type { Command } from "./command.ts";
import { CommandError } from "./command_error.ts";
import { Deployment, memberKeys } from "./deployment.ts";
import { nodeAddresses } from "./node_files.ts";
import { durationMs, number, text } from "./options.ts";
import { print, printJson } from "./output.ts";
import { readLayout } from "./stand_in_command.ts";
import { startNodes } from "./start_nodes.ts";

const OPERATOR_KEY = "demo-operator";

/** `demo`: a whole small deployment in one process, with a load. */
export const demoCommand: Command = {
  name: "demo",
  usage: "[--layout brodeline|vozes] [--nodes N] [--rate N] " +
    "[--duration 10s] [--seed N] [--port N] [--html FILE]",
  summary: "Run nodes and stand-ins in one process and send them chats.",
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
    const layout = readLayout(text(parsed, "layout", "brodeline"));
    const seed = number(parsed, "seed", 1);
    const portBase = number(parsed, "port", 22_000);
    const nodeCount = number(parsed, "nodes", 4);
    const ratePerSecond = number(parsed, "rate", 20);
    const loadMs = durationMs(parsed, "duration", "10s");
    const directory = mkdtempSync(join(tmpdir(), "limpetshed-demo-"));
    const deployment = new Deployment({ layout, seed });
    let running: RunningNode[] = [];
    try {
      await deployment.start();
      const nodes = nodeAddresses(nodeCount, {
        portBase,
        zones: deployment.layout.availabilityZones,
      });
      running = await startNodes({
        deployment,
        directory,
        nodes,
        peerKey: "demo-peer",
        operatorKey: OPERATOR_KEY,
      });
      const members = memberKeys(10, seed);
      await submitFirstConfig(
        running[0]!,
        deployment.firstConfig({ members, budget: 1_000_000 }),
      );
      print(`${running.length} nodes, configuration version 1 in force`);
      const summary = await runLoad({
        urls: nodes.map(({ callers }) => `http://${callers}`),
        keys: members.map(({ key }) => key),
        ratePerSecond,
        durationMs: loadMs,
        chats: { seed, models: [deployment.layout.modelService] },
      });
      const html = text(parsed, "html", "");
      if (html !== "") {
        writeFileSync(html, renderHtmlReport(summary));
      }
      const { perSecond: _, ...short } = summary;
      printJson({ ...short, counters: sumCounters(running) });
    } finally {
      await Promise.all(running.map((node) => node.stop()));
      await deployment.close();
      rmSync(directory, { recursive: true, force: true });
    }
  },
};

/** Refusals, retries and admissions over all nodes. */
function sumCounters(running: readonly RunningNode[]): Record<string, number> {
  const sums: Record<string, number> = {};
  for (const { metrics } of running) {
    for (const [name, value] of Object.entries(metrics.snapshot())) {
      if (/^(refusal|retry|admission|share|invariant)\./.test(name)) {
        sums[name] = (sums[name] ?? 0) + value;
      }
    }
  }
  return sums;
}

async function submitFirstConfig(
  running: RunningNode,
  patch: object,
): Promise<void> {
  const { keeper } = running.node;
  await keeper.patch({
    againstVersion: 0,
    id: "demo-first",
    author: "demo",
    patch: JSON.parse(JSON.stringify(patch)) as never,
  });
  const deadline = Date.now() + 5_000;
  for (;;) {
    const status = await running.node.spread.status();
    if (status.every(({ version }) => version === 1)) {
      return;
    }
    if (Date.now() > deadline) {
      throw new CommandError("failed", "the configuration did not spread");
    }
    await new Promise((resolve) => setTimeout(resolve, 50));
  }
}
