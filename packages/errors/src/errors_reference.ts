import { ERROR_RESPONSES } from "./error_kinds.ts";

/** Generates the Markdown reference page of all error kinds. */
export function errorsReference(): string {
  const rows = Object.entries(ERROR_RESPONSES).map(
    ([kind, { status, run, retryable }]) =>
      `| \`${kind}\` | ${status} | \`${run}\` | ${retryable ? "yes" : "no"} |`,
  );
  return [
    "# Errors",
    "",
    "Generated from the error table in the code; a test keeps it up to date. All error",
    "responses share the body `{error: {type, message, run, retry, ...}}` and carry the",
    "run state in the header `x-limpetshed-run`: `not-run` if that is certain, otherwise",
    "`may-have-run`. Each kind is counted as `refusal.KIND`. A stream that fails after",
    "its first event ends with `event: error` and the same body, never with `[DONE]`.",
    "",
    "| kind | status | run state | retryable |",
    "| --- | --- | --- | --- |",
    ...rows,
    "",
  ].join("\n");
}
