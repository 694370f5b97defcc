import process from "node:process";
import { RunningNode } from "@limpetshed/node";
import { readSettings } from "@limpetshed/settings";
import type { Command } from "./command.ts";
import { required } from "./options.ts";

/** `serve`: runs a node until it is told to stop. */
export const serveCommand: Command = {
  name: "serve",
  usage: "--settings FILE",
  summary: "Run a node. SIGTERM stops as planned; a second one at once.",
  options: { settings: { type: "string", short: "s" } },
  run: async (parsed) => {
    const settings = readSettings(required(parsed, "settings"));
    const running = await RunningNode.start(settings);
    await stopSignal();
    const second = stopSignal().then(() => process.exit(1));
    await Promise.race([running.stop(), second]);
    process.exit(0);
  },
};

async function stopSignal(): Promise<void> {
  await new Promise<void>((resolve) => {
    process.once("SIGTERM", () => resolve());
    process.once("SIGINT", () => resolve());
  });
}
