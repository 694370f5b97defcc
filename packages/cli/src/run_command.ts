import process from "node:process";
import { errorText } from "@limpetshed/base";
import { RouterError } from "@limpetshed/errors";
import { checkSettingsCommand } from "./check_settings_command.ts";
import type { Command } from "./command.ts";
import { CommandError, EXIT_CODES } from "./command_error.ts";
import {
  configGetCommand,
  configHistoryCommand,
  configPatchCommand,
  configStatusCommand,
  statusCommand,
} from "./config_commands.ts";
import { demoCommand } from "./demo_command.ts";
import { loadCommand } from "./load_command.ts";
import { parseOptions } from "./options.ts";
import { printLine } from "./output.ts";
import { referenceCommand } from "./reference_command.ts";
import { serveCommand } from "./serve_command.ts";
import { standInCommand } from "./stand_in_command.ts";
import { VERSION } from "./version.ts";

/** All commands, in the order in which the help lists them. */
export const COMMANDS: readonly Command[] = [
  serveCommand,
  checkSettingsCommand,
  configGetCommand,
  configPatchCommand,
  configStatusCommand,
  configHistoryCommand,
  statusCommand,
  standInCommand,
  loadCommand,
  demoCommand,
  referenceCommand,
];

/** Runs a command line and returns the exit code of the process. */
export async function runCommand(args: readonly string[]): Promise<number> {
  try {
    await dispatch(args);
    return EXIT_CODES.ok;
  } catch (err) {
    return reportError(err);
  }
}

async function dispatch(args: readonly string[]): Promise<void> {
  const [first = "help", second = ""] = args;
  if (first === "help" || first === "--help" || first === "-h") {
    printLine(helpText(args.slice(1).join(" ")));
    return;
  }
  if (first === "version" || first === "--version") {
    printLine(VERSION);
    return;
  }
  const command = COMMANDS.find(({ name }) =>
    name === first || name === `${first} ${second}`
  );
  if (command === undefined) {
    throw new CommandError(
      "usage",
      `unknown command '${args.slice(0, 2).join(" ")}'; see limpetshed help`,
    );
  }
  const wordCount = command.name.split(" ").length;
  const parsed = parseOptions(args.slice(wordCount), command.options, command);
  if (parsed.values["help"] === true) {
    printLine(helpText(command.name));
    return;
  }
  await command.run(parsed);
}

function helpText(topic: string): string {
  const command = COMMANDS.find(({ name }) => name === topic);
  if (command !== undefined) {
    return `${command.summary}\n\n  limpetshed ${command.name} ${command.usage}`;
  }
  const rows = COMMANDS.map(({ name, summary }) =>
    `  ${name.padEnd(16)}${summary}`
  );
  const codes = Object.entries(EXIT_CODES).map(([name, code]) =>
    `${code} ${name}`
  );
  return [
    "limpetshed COMMAND [OPTIONS]",
    "",
    ...rows,
    `  ${"version".padEnd(16)}Print the version.`,
    `  ${"help [COMMAND]".padEnd(16)}Print help.`,
    "",
    `Exit codes: ${codes.join(", ")}.`,
  ].join("\n");
}

function reportError(err: unknown): number {
  if (err instanceof CommandError) {
    process.stderr.write(`limpetshed: ${err.message}\n`);
    return EXIT_CODES[err.exitCodeName];
  }
  if (err instanceof RouterError && err.kind === "settings_invalid") {
    const lines = err.faults.map((fault) => `  ${fault}\n`);
    process.stderr.write(`limpetshed: invalid settings\n${lines.join("")}`);
    return EXIT_CODES.settings;
  }
  const message = errorText(err);
  process.stderr.write(`limpetshed: ${message}\n`);
  return EXIT_CODES.failed;
}
