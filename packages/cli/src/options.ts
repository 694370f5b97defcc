import { parseArgs, type ParseArgsConfig } from "node:util";
import { durationSchema } from "@limpetshed/settings";
import { CommandError } from "./command_error.ts";

/** Option definitions of a command, in the form taken by `parseArgs`. */
export type OptionDefinitions = NonNullable<ParseArgsConfig["options"]>;

/** Parsed option values and positional arguments of a command. */
export interface ParsedOptions {
  values: Record<string, string | boolean | undefined>;
  positionals: string[];
}

/**
 * Parses the arguments of a command.
 *
 * @throws CommandError that names the first invalid argument.
 */
export function parseOptions(
  args: readonly string[],
  options: OptionDefinitions,
  { positionals = 0 }: { positionals?: number } = {},
): ParsedOptions {
  try {
    const parsed = parseArgs({
      args: [...args],
      options: { ...options, help: { type: "boolean", short: "h" } },
      allowPositionals: positionals > 0,
      strict: true,
    });
    if (parsed.positionals.length > positionals) {
      throw new Error(
        `unexpected argument '${parsed.positionals[positionals]}'`,
      );
    }
    return {
      values: parsed.values,
      positionals: parsed.positionals,
    };
  } catch (err) {
    const [line] = err instanceof Error ? err.message.split("\n") : [""];
    throw new CommandError("usage", line ?? "invalid arguments");
  }
}

/** Returns the value of a string option that must be present. */
export function requiredOption(parsed: ParsedOptions, name: string): string {
  const value = parsed.values[name];
  if (typeof value !== "string" || value === "") {
    throw new CommandError("usage", `--${name} is required`);
  }
  return value;
}

/** Returns the value of a string option, or the default. */
export function stringOption(
  parsed: ParsedOptions,
  name: string,
  defaultValue: string,
): string {
  const value = parsed.values[name];
  return typeof value === "string" ? value : defaultValue;
}

/** Returns the value of a numeric option above 0, or the default. */
export function positiveNumberOption(
  parsed: ParsedOptions,
  name: string,
  defaultValue: number,
): number {
  const value = parsed.values[name];
  if (value === undefined) {
    return defaultValue;
  }
  const result = Number(value);
  if (!Number.isFinite(result) || result <= 0) {
    throw new CommandError(
      "usage",
      `--${name}: expected a number above 0, got '${String(value)}'`,
    );
  }
  return result;
}

/** Returns a duration option such as `20s` in milliseconds, or the default. */
export function durationOptionMs(
  parsed: ParsedOptions,
  name: string,
  defaultValue: string,
): number {
  const value = stringOption(parsed, name, defaultValue);
  const result = durationSchema().safeParse(value);
  if (!result.success) {
    throw new CommandError(
      "usage",
      `--${name}: ${
        result.error.issues[0]?.message ?? "invalid"
      }, got '${value}'`,
    );
  }
  return result.data;
}
