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
import { print } from "./output.ts";
import { referenceCommand } from "./reference_command.ts";
import { serveCommand } from "./serve_command.ts";
import { standInCommand } from "./stand_in_command.ts";
import { VERSION } from "./version.ts";

/** All commands, in the order of the help. */
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

/** Runs the command line; returns the exit code. */
export async function runCommand(args: readonly string[]): Promise<number> {
  try {
    await dispatch(args);
    return EXIT_CODES.ok;
  } catch (err) {
    return report(err);
  }
}

async function dispatch(args: readonly string[]): Promise<void> {
  const [first = "help", second = ""] = args;
  if (first === "help" || first === "--help" || first === "-h") {
    print(help(args.slice(1).join(" ")));
    return;
  }
  if (first === "version" || first === "--version") {
    print(VERSION);
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
  const words = command.name.split(" ").length;
  const parsed = parseOptions(args.slice(words), command.options, command);
  if (parsed.values["help"] === true) {
    print(help(command.name));
    return;
  }
  await command.run(parsed);
}

function help(topic: string): string {
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

function report(err: unknown): number {
  if (err instanceof CommandError) {
    process.stderr.write(`limpetshed: ${err.message}\n`);
    return EXIT_CODES[err.exit];
  }
  if (err instanceof RouterError && err.kind === "settings_invalid") {
    const lines = err.faults.map((fault) => `  ${fault}\n`);
    process.stderr.write(`limpetshed: settings not valid\n${lines.join("")}`);
    return EXIT_CODES.settings;
  }
  const message = errorText(err);
  process.stderr.write(`limpetshed: ${message}\n`);
  return EXIT_CODES.failed;
}
