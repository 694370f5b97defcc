import { request } from "undici";
import { errorText } from "@limpetshed/base";
import { readTextFile } from "@limpetshed/settings";
import { CommandError, type ExitName } from "./command_error.ts";
import type { OptionTable, ParsedOptions } from "./options.ts";
import { required, text } from "./options.ts";

/** Options of the commands that ask a node. */
export const OPERATOR_OPTIONS: OptionTable = {
  node: { type: "string", short: "n" },
  "key-file": { type: "string", short: "k" },
};

/** How the help shows {@linkcode OPERATOR_OPTIONS}. */
export const OPERATOR_USAGE = "--node URL --key-file FILE";

const TIMEOUT_MS = 15_000;

interface ErrorAnswer {
  error?: { type?: string; message?: string; faults?: string[] };
}

/** Answer of a node's operators' interface. */
export interface OperatorAnswer {
  data: unknown;
  etag: string | undefined;
}

/** Asks a node; a refusal becomes an error with its faults. */
export async function askNode(
  parsed: ParsedOptions,
  path: string,
  { method = "GET", headers = {}, body }: {
    method?: "GET" | "PATCH";
    headers?: Record<string, string>;
    body?: string;
  } = {},
): Promise<OperatorAnswer> {
  const url = text(parsed, "node", "http://127.0.0.1:8081").replace(/\/$/, "");
  const key = readTextFile(required(parsed, "key-file"), "key file").trim();
  const res = await request(`${url}${path}`, {
    method,
    headers: { authorization: `Bearer ${key}`, ...headers },
    signal: AbortSignal.timeout(TIMEOUT_MS),
    ...(body === undefined ? {} : { body }),
  }).catch((err: unknown) => {
    const reason = errorText(err);
    throw new CommandError("failed", `${url} does not answer: ${reason}`);
  });
  const data = await res.body.json().catch(() => undefined);
  if (res.statusCode >= 300) {
    throw refusal(res.statusCode, data as ErrorAnswer | undefined);
  }
  const { etag } = res.headers;
  return { data, etag: typeof etag === "string" ? etag : undefined };
}

function refusal(
  status: number,
  answer: ErrorAnswer | undefined,
): CommandError {
  const { type = `status ${status}`, message = "", faults = [] } =
    answer?.error ?? {};
  const lines = [`${type}: ${message}`, ...faults.map((fault) => `  ${fault}`)];
  return new CommandError(exitFor(type), lines.join("\n"));
}

function exitFor(type: string): ExitName {
  if (type === "config_outcome_unknown") {
    return "unknown";
  }
  return type.startsWith("config_") ? "refused" : "failed";
}
