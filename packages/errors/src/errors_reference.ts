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
    "Generated from the error table in the code; a test keeps it up to date. Every error",
    "response has the same body, `{error: {type, message, run, retry, ...}}`, and the run",
    "state in the header `x-limpetshed-run`. `not-run` is reported only if it is certain,",
    "otherwise `may-have-run`. Each kind is counted in the metric `refusal.KIND`. A stream",
    "that fails after its first event ends with `event: error` and the same body, never",
    "with `[DONE]`.",
    "",
    "| kind | status | run state | retryable |",
    "| --- | --- | --- | --- |",
    ...rows,
    "",
  ].join("\n");
}
