import { readTextFile } from "@limpetshed/settings";
import { parse, stringify } from "smol-toml";
import type { Command } from "./command.ts";
import { CommandError } from "./command_error.ts";
import {
  callOperatorApi,
  OPERATOR_OPTIONS,
  OPERATOR_USAGE,
} from "./operator_api.ts";
import { requiredOption, stringOption } from "./options.ts";
import { printJson, printLine } from "./output.ts";

/** `config get`: prints the current configuration. */
export const configGetCommand: Command = {
  name: "config get",
  usage: `${OPERATOR_USAGE} [--toml]`,
  summary: "Print the configuration and its version.",
  options: { ...OPERATOR_OPTIONS, toml: { type: "boolean" } },
  run: async (parsed) => {
    const { data, etag } = await callOperatorApi(parsed, "/v1/config");
    if (parsed.values["toml"] === true) {
      printLine(`# version ${etag ?? ""}`);
      printLine(stringify(data));
    } else {
      printJson({ version: Number(etag?.replace(/"/g, "")), document: data });
    }
  },
};

/** `config patch`: submits a JSON merge patch against a version. */
export const configPatchCommand: Command = {
  name: "config patch",
  usage: `${OPERATOR_USAGE} --version N --file FILE.json|FILE.toml [--id ID]`,
  summary: "Submit a patch against version N; rejected if N is not current.",
  options: {
    ...OPERATOR_OPTIONS,
    version: { type: "string", short: "v" },
    file: { type: "string", short: "f" },
    id: { type: "string" },
  },
  run: async (parsed) => {
    const version = requiredOption(parsed, "version");
    if (!/^\d+$/.test(version)) {
      throw new CommandError(
        "usage",
        `--version: expected a whole number, got '${version}'`,
      );
    }
    const body = readPatchAsJson(requiredOption(parsed, "file"));
    const id = stringOption(parsed, "id", "");
    const { data } = await callOperatorApi(parsed, "/v1/config", {
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

/** `config status`: prints the configuration version of each live node. */
export const configStatusCommand: Command = {
  name: "config status",
  usage: OPERATOR_USAGE,
  summary: "Print the configuration version in use on each live node.",
  options: OPERATOR_OPTIONS,
  run: async (parsed) => {
    printJson((await callOperatorApi(parsed, "/v1/config/status")).data);
  },
};

/** `config history`: prints the accepted patches. */
export const configHistoryCommand: Command = {
  name: "config history",
  usage: `${OPERATOR_USAGE} [--limit N]`,
  summary: "Print accepted patches, newest first, with their authors.",
  options: { ...OPERATOR_OPTIONS, limit: { type: "string" } },
  run: async (parsed) => {
    const limit = stringOption(parsed, "limit", "50");
    const path = `/v1/config/history?limit=${encodeURIComponent(limit)}`;
    printJson((await callOperatorApi(parsed, path)).data);
  },
};

/** `status`: prints the state and counters of a node. */
export const statusCommand: Command = {
  name: "status",
  usage: OPERATOR_USAGE,
  summary: "Print a node's view of the fleet, its endpoints and counters.",
  options: OPERATOR_OPTIONS,
  run: async (parsed) => {
    printJson((await callOperatorApi(parsed, "/v1/status")).data);
  },
};

/** Removes a key in a TOML patch, like null in JSON; TOML has no null. */
const TOML_NULL = "(remove)";

function readPatchAsJson(path: string): string {
  const content = readTextFile(path, "patch");
  if (!path.endsWith(".toml")) {
    return content;
  }
  try {
    return JSON.stringify(
      parse(content),
      (_, value: unknown) => value === TOML_NULL ? null : value,
    );
  } catch (err) {
    const [line] = err instanceof Error ? err.message.split("\n") : [""];
    throw new CommandError("usage", `${path}: invalid TOML: ${line ?? ""}`);
  }
}
