import { readSettings } from "@limpetshed/settings";
import type { Command } from "./command.ts";
import { requiredOption } from "./options.ts";
import { printJson } from "./output.ts";

/** `check-settings`: validates a settings file without starting a node. */
export const checkSettingsCommand: Command = {
  name: "check-settings",
  usage: "--settings FILE",
  summary: "Validate a settings file and print the effective settings.",
  options: {
    settings: { type: "string", short: "s" },
  },
  run: (parsed) => {
    printJson(readSettings(requiredOption(parsed, "settings")));
    return Promise.resolve();
  },
};
