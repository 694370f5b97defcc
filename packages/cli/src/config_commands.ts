import { readTextFile } from "@limpetshed/settings";
import { parse, stringify } from "smol-toml";
import type { Command } from "./command.ts";
import { CommandError } from "./command_error.ts";
import {
  askNode,
  OPERATOR_OPTIONS,
  OPERATOR_USAGE,
} from "./operators_client.ts";
import { required, text } from "./options.ts";
import { print, printJson } from "./output.ts";

/** `config get`: prints the configuration in force. */
export const configGetCommand: Command = {
  name: "config get",
  usage: `${OPERATOR_USAGE} [--toml]`,
  summary: "Print the configuration and its version.",
  options: { ...OPERATOR_OPTIONS, toml: { type: "boolean" } },
  run: async (parsed) => {
    const { data, etag } = await askNode(parsed, "/v1/config");
    if (parsed.values["toml"] === true) {
      print(`# version ${etag ?? ""}`);
      print(stringify(data));
    } else {
      printJson({ version: Number(etag?.replace(/"/g, "")), document: data });
    }
  },
};

/** `config patch`: submits a merge patch against a version. */
export const configPatchCommand: Command = {
  name: "config patch",
  usage: `${OPERATOR_USAGE} --version N --file FILE.json|FILE.toml [--id ID]`,
  summary: "Submit a patch written against version N; refused when stale.",
  options: {
    ...OPERATOR_OPTIONS,
    version: { type: "string", short: "v" },
    file: { type: "string", short: "f" },
    id: { type: "string" },
  },
  run: async (parsed) => {
    const version = required(parsed, "version");
    if (!/^\d+$/.test(version)) {
      throw new CommandError(
        "usage",
        `--version: expected a whole number, got '${version}'`,
      );
    }
    const body = readPatch(required(parsed, "file"));
    const id = text(parsed, "id", "");
    const { data } = await askNode(parsed, "/v1/config", {
      method: "PATCH",
      body,
      headers: {
        "if-match": `"${version}"`,
        "content-type": "application/merge-patch+json",
        ...(id === "" ? {} : { "x-patch-id": id }),
      },
    });
    printJson(data);
  },
};

/** `config status`: prints which node confirms which version. */
export const configStatusCommand: Command = {
  name: "config status",
  usage: OPERATOR_USAGE,
  summary: "Print which live nodes confirm which version.",
  options: OPERATOR_OPTIONS,
  run: async (parsed) => {
    printJson((await askNode(parsed, "/v1/config/status")).data);
  },
};

/** `config history`: prints accepted patches. */
export const configHistoryCommand: Command = {
  name: "config history",
  usage: `${OPERATOR_USAGE} [--limit N]`,
  summary: "Print accepted patches, newest first, with their authors.",
  options: { ...OPERATOR_OPTIONS, limit: { type: "string" } },
  run: async (parsed) => {
    const limit = text(parsed, "limit", "50");
    const path = `/v1/config/history?limit=${encodeURIComponent(limit)}`;
    printJson((await askNode(parsed, path)).data);
  },
};

/** `status`: prints what a node does. */
export const statusCommand: Command = {
  name: "status",
  usage: OPERATOR_USAGE,
  summary: "Print a node's view of the fleet, its endpoints and counters.",
  options: OPERATOR_OPTIONS,
  run: async (parsed) => {
    printJson((await askNode(parsed, "/v1/status")).data);
  },
};

/** JSON has null for removal; a TOML patch writes the text "(remove)". */
const REMOVE_TEXT = "(remove)";

function readPatch(path: string): string {
  const content = readTextFile(path, "patch");
  if (!path.endsWith(".toml")) {
    return content;
  }
  try {
    return JSON.stringify(
      parse(content),
      (_, value: unknown) => value === REMOVE_TEXT ? null : value,
    );
  } catch (err) {
    const [line] = err instanceof Error ? err.message.split("\n") : [""];
    throw new CommandError("usage", `${path}: not valid TOML: ${line ?? ""}`);
  }
}
