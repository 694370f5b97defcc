import process from "node:process";
import { RunningNode } from "@limpetshed/node";
import { readSettings } from "@limpetshed/settings";
import type { Command } from "./command.ts";
import { requiredOption } from "./options.ts";

/** `serve`: runs a node until SIGTERM or SIGINT. */
export const serveCommand: Command = {
  name: "serve",
  usage: "--settings FILE",
  summary: "Run a node. SIGTERM stops it gracefully; a second one at once.",
  options: { settings: { type: "string", short: "s" } },
  run: async (parsed) => {
    const settings = readSettings(requiredOption(parsed, "settings"));
    const running = await RunningNode.start(settings);
    await waitForStopSignal();
    const forcedExit = waitForStopSignal().then(() => process.exit(1));
    await Promise.race([running.stop(), forcedExit]);
    process.exit(0);
  },
};

async function waitForStopSignal(): Promise<void> {
  await new Promise<void>((resolve) => {
    process.once("SIGTERM", () => resolve());
    process.once("SIGINT", () => resolve());
  });
}
