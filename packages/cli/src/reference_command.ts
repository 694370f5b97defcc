import { errorsReference } from "@limpetshed/errors";
import { metricsReference, relayMetricsReference } from "@limpetshed/observe";
import { settingsReference } from "@limpetshed/settings";
import type { Command } from "./command.ts";
import { CommandError } from "./command_error.ts";
import { printLine } from "./output.ts";

/** Renderers of the reference pages, which are generated from the code. */
export const REFERENCE_PAGES: Readonly<Record<string, () => string>> = {
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
    const renderPage = Object.hasOwn(REFERENCE_PAGES, name)
      ? REFERENCE_PAGES[name]
      : undefined;
    if (renderPage === undefined) {
      const known = Object.keys(REFERENCE_PAGES).join(", ");
      throw new CommandError(
        "usage",
        `expected one of ${known}, got '${name}'`,
      );
    }
    printLine(renderPage().trimEnd());
    return Promise.resolve();
  },
};
