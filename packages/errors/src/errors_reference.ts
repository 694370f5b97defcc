import { ERROR_ANSWERS } from "./error_kinds.ts";

/** Makes the page of every error kind, in Markdown, from the table. */
export function errorsReference(): string {
  const rows = Object.entries(ERROR_ANSWERS).map(
    ([kind, { status, run, retryHelps }]) =>
      `| \`${kind}\` | ${status} | \`${run}\` | ${retryHelps ? "yes" : "no"} |`,
  );
  return [
    "# Errors",
    "",
    "Made from the table in the code; a test keeps it current. Every refusal has the",
    "same body, `{error: {type, message, run, retry, ...}}`, and the run state in the",
    "header `x-limpetshed-run`. `not-run` is certain; `may-have-run` is said wherever",
    "it is not. The counter of a kind is `refusal.KIND`. A stream that fails after its",
    "first event ends in `event: error` with the same body, never in `[DONE]`.",
    "",
    "| kind | status | run state | a retry may help |",
    "| --- | --- | --- | --- |",
    ...rows,
    "",
  ].join("\n");
}
