import { readSettings, settingsReference } from "@limpetshed/settings";
import type { Command } from "./command.ts";
import { required } from "./options.ts";
import { print, printJson } from "./output.ts";

/** `check-settings`: checks a settings file without starting anything. */
export const checkSettingsCommand: Command = {
  name: "check-settings",
  usage: "--settings FILE | --reference",
  summary: "Check a settings file, or print the settings reference.",
  options: {
    settings: { type: "string", short: "s" },
    reference: { type: "boolean" },
  },
  run: (parsed) => {
    if (parsed.values["reference"] === true) {
      print(settingsReference().trimEnd());
    } else {
      printJson(readSettings(required(parsed, "settings")));
    }
    return Promise.resolve();
  },
};
