import { errorsReference } from "@limpetshed/errors";
import { metricsReference, relayMetricsReference } from "@limpetshed/observe";
import { settingsReference } from "@limpetshed/settings";
import type { Command } from "./command.ts";
import { CommandError } from "./command_error.ts";
import { print } from "./output.ts";

/** The reference pages that are made from tables in the code. */
export const REFERENCES: Readonly<Record<string, () => string>> = {
  settings: settingsReference,
  metrics: metricsReference,
  relay_metrics: relayMetricsReference,
  errors: errorsReference,
};

/** `reference`: prints a reference page. */
export const referenceCommand: Command = {
  name: "reference",
  usage: "settings|metrics|relay_metrics|errors",
  summary: "Print a reference page in Markdown.",
  options: {},
  positionals: 1,
  run: ({ positionals: [name = ""] }) => {
    const make = Object.hasOwn(REFERENCES, name) ? REFERENCES[name] : undefined;
    if (make === undefined) {
      const known = Object.keys(REFERENCES).join(", ");
      throw new CommandError(
        "usage",
        `expected one of ${known}, got '${name}'`,
      );
    }
    print(make().trimEnd());
    return Promise.resolve();
  },
};
