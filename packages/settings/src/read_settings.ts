import { readFileSync } from "node:fs";
import { parse } from "smol-toml";
import type { z } from "zod";
import { RouterError } from "@limpetshed/errors";
import { type Settings, settingsSchema } from "./settings_schema.ts";

/** Parses and checks the text of a settings file; names every fault. */
export function parseSettings(text: string): Settings {
  let data: unknown;
  try {
    data = parse(text);
  } catch (err) {
    const reason = err instanceof Error ? err.message.split("\n")[0] : "";
    throw settingsError([`not valid TOML: ${reason ?? ""}`], err);
  }
  const result = settingsSchema.safeParse(data);
  if (!result.success) {
    throw settingsError(result.error.issues.flatMap(describeIssue));
  }
  return result.data;
}

/** Reads and checks a settings file, and that the files it names exist. */
export function readSettings(path: string): Settings {
  const settings = parseSettings(readText(path, "settings file"));
  const faults = namedFiles(settings).flatMap(([key, file]) => {
    try {
      readText(file, key);
      return [];
    } catch (err) {
      return [err instanceof RouterError ? err.summary : String(err)];
    }
  });
  if (faults.length > 0) {
    throw settingsError(faults);
  }
  return settings;
}

/** Reads a text file; the error names the file and why it failed. */
export function readText(path: string, what: string): string {
  try {
    return readFileSync(path, "utf8");
  } catch (err) {
    const code = (err as NodeJS.ErrnoException).code ?? "unknown error";
    throw settingsError([`${what}: cannot read ${path} (${code})`], err);
  }
}

function namedFiles(settings: Settings): [string, string][] {
  const { secrets, tls } = settings;
  const files: [string, string | undefined][] = [
    ["secrets.peer_key_file", secrets.peer_key_file],
    ["secrets.operator_keys_file", secrets.operator_keys_file],
    ["tls.callers.cert_file", tls.callers?.cert_file],
    ["tls.callers.key_file", tls.callers?.key_file],
    ["tls.peers.cert_file", tls.peers?.cert_file],
    ["tls.peers.key_file", tls.peers?.key_file],
    ["tls.peers.ca_file", tls.peers?.ca_file],
  ];
  return files.filter((entry): entry is [string, string] =>
    entry[1] !== undefined
  );
}

function describeIssue(issue: z.core.$ZodIssue): string[] {
  const path = issue.path.map(String);
  if (issue.code === "unrecognized_keys") {
    return issue.keys.map((key) => `${[...path, key].join(".")}: unknown key`);
  }
  const where = path.length === 0 ? "settings" : path.join(".");
  return [`${where}: ${issue.message}`];
}

function settingsError(faults: string[], cause?: unknown): RouterError {
  return new RouterError("settings_invalid", faults.join("; "), {
    faults,
    cause,
  });
}
