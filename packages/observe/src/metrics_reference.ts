import { METRIC_TABLE } from "./metric_table.ts";

/** Makes the page of every metric, in Markdown, from the table. */
export function metricsReference(): string {
  const rows = Object.entries(METRIC_TABLE).map(
    ([name, { type, unit, description }]) =>
      `| \`${name}\` | ${type} | ${unit} | ${description} |`,
  );
  return [
    "# Metrics",
    "",
    "Made from the table in the code; a test keeps it current. Names carry the prefix",
    "of the settings and the tags `node` and `zone`.",
    "",
    "| name | kind | unit | meaning |",
    "| --- | --- | --- | --- |",
    ...rows,
    "",
  ].join("\n");
}
