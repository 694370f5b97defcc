import { readFileSync } from "node:fs";
import { parse } from "smol-toml";
import type { z } from "zod";
import { RouterError } from "@limpetshed/errors";
import { type Settings, settingsSchema } from "./settings_schema.ts";

/** Parses and validates the text of a settings file; reports every error. */
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
    throw settingsError(result.error.issues.flatMap(issueMessages));
  }
  return result.data;
}

/** Reads and validates a settings file; every file it refers to must be readable. */
export function readSettings(path: string): Settings {
  const settings = parseSettings(readTextFile(path, "settings file"));
  const faults = referencedFiles(settings).flatMap(([key, file]) => {
    try {
      readTextFile(file, key);
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

/** Reads a UTF-8 file; errors contain `label`, the path and the error code. */
export function readTextFile(path: string, label: string): string {
  try {
    return readFileSync(path, "utf8");
  } catch (err) {
    const code = (err as NodeJS.ErrnoException).code ?? "unknown error";
    throw settingsError([`${label}: cannot read ${path} (${code})`], err);
  }
}

function referencedFiles(settings: Settings): [string, string][] {
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

function issueMessages(issue: z.core.$ZodIssue): string[] {
  const path = issue.path.map(String);
  if (issue.code === "unrecognized_keys") {
    return issue.keys.map((key) => `${[...path, key].join(".")}: unknown key`);
  }
  const location = path.length === 0 ? "settings" : path.join(".");
  return [`${location}: ${issue.message}`];
}

function settingsError(faults: string[], cause?: unknown): RouterError {
  return new RouterError("settings_invalid", faults.join("; "), {
    faults,
    cause,
  });
}
