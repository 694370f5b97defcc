import { readSettings } from "@limpetshed/settings";
import type { Command } from "./command.ts";
import { required } from "./options.ts";
import { printJson } from "./output.ts";

/** `check-settings`: checks a settings file without starting anything. */
export const checkSettingsCommand: Command = {
  name: "check-settings",
  usage: "--settings FILE",
  summary: "Check a settings file and print what is in force.",
  options: {
    settings: { type: "string", short: "s" },
  },
  run: (parsed) => {
    printJson(readSettings(required(parsed, "settings")));
    return Promise.resolve();
  },
};
