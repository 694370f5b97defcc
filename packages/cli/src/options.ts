import { parseArgs, type ParseArgsConfig } from "node:util";
import { durationSchema } from "@limpetshed/settings";
import { CommandError } from "./command_error.ts";

/** Options of one command as `parseArgs` takes them. */
export type OptionTable = NonNullable<ParseArgsConfig["options"]>;

/** Values of a command's options and its positional arguments. */
export interface ParsedOptions {
  values: Record<string, string | boolean | undefined>;
  positionals: string[];
}

/** Parses a command's arguments; a wrong one names itself. */
export function parseOptions(
  args: readonly string[],
  options: OptionTable,
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
    throw new CommandError("usage", line ?? "wrong arguments");
  }
}

/** A text that must be given. */
export function required(parsed: ParsedOptions, name: string): string {
  const value = parsed.values[name];
  if (typeof value !== "string" || value === "") {
    throw new CommandError("usage", `--${name} is required`);
  }
  return value;
}

/** A text with a default. */
export function text(
  parsed: ParsedOptions,
  name: string,
  fallback: string,
): string {
  const value = parsed.values[name];
  return typeof value === "string" ? value : fallback;
}

/** A number above zero with a default. */
export function number(
  parsed: ParsedOptions,
  name: string,
  fallback: number,
): number {
  const value = parsed.values[name];
  if (value === undefined) {
    return fallback;
  }
  const read = Number(value);
  if (!Number.isFinite(read) || read <= 0) {
    throw new CommandError(
      "usage",
      `--${name}: expected a number above 0, got '${String(value)}'`,
    );
  }
  return read;
}

/** A duration such as `20s`, in milliseconds, with a default. */
export function durationMs(
  parsed: ParsedOptions,
  name: string,
  fallback: string,
): number {
  const value = text(parsed, name, fallback);
  const read = durationSchema().safeParse(value);
  if (!read.success) {
    throw new CommandError(
      "usage",
      `--${name}: ${read.error.issues[0]?.message ?? "wrong"}, got '${value}'`,
    );
  }
  return read.data;
}
