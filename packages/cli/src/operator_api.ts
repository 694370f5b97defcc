import { request } from "undici";
import { errorText } from "@limpetshed/base";
import { readTextFile } from "@limpetshed/settings";
import { CommandError, type ExitCodeName } from "./command_error.ts";
import type { OptionDefinitions, ParsedOptions } from "./options.ts";
import { requiredOption, stringOption } from "./options.ts";

/** Options of the commands that call a node's operator API. */
export const OPERATOR_OPTIONS: OptionDefinitions = {
  node: { type: "string", short: "n" },
  "key-file": { type: "string", short: "k" },
};

/** Usage text of {@linkcode OPERATOR_OPTIONS}. */
export const OPERATOR_USAGE = "--node URL --key-file FILE";

const REQUEST_TIMEOUT_MS = 15_000;

interface ErrorResponseBody {
  error?: { type?: string; message?: string; faults?: string[] };
}

/** Successful response of the operator API. */
export interface OperatorResponse {
  data: unknown;
  etag: string | undefined;
}

/**
 * Calls a node's operator API.
 *
 * @throws CommandError if the node does not respond or returns an error.
 */
export async function callOperatorApi(
  parsed: ParsedOptions,
  path: string,
  { method = "GET", headers = {}, body }: {
    method?: "GET" | "PATCH";
    headers?: Record<string, string>;
    body?: string;
  } = {},
): Promise<OperatorResponse> {
  const url = stringOption(parsed, "node", "http://127.0.0.1:8081").replace(
    /\/$/,
    "",
  );
  const key = readTextFile(requiredOption(parsed, "key-file"), "key file")
    .trim();
  const res = await request(`${url}${path}`, {
    method,
    headers: { authorization: `Bearer ${key}`, ...headers },
    signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS),
    ...(body === undefined ? {} : { body }),
  }).catch((err: unknown) => {
    const reason = errorText(err);
    throw new CommandError("failed", `no response from ${url}: ${reason}`);
  });
  const data = await res.body.json().catch(() => undefined);
  if (res.statusCode >= 300) {
    throw toCommandError(res.statusCode, data as ErrorResponseBody | undefined);
  }
  const { etag } = res.headers;
  return { data, etag: typeof etag === "string" ? etag : undefined };
}

function toCommandError(
  status: number,
  body: ErrorResponseBody | undefined,
): CommandError {
  const { type = `status ${status}`, message = "", faults = [] } =
    body?.error ?? {};
  const lines = [`${type}: ${message}`, ...faults.map((fault) => `  ${fault}`)];
  return new CommandError(exitCodeNameFor(type), lines.join("\n"));
}

function exitCodeNameFor(type: string): ExitCodeName {
  if (type === "config_outcome_unknown") {
    return "unknown";
  }
  return type.startsWith("config_") ? "refused" : "failed";
}
