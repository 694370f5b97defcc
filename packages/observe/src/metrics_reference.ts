import { METRIC_TABLE } from "./metric_table.ts";

/** Generates the Markdown reference page of all metrics. */
export function metricsReference(): string {
  const rows = Object.entries(METRIC_TABLE).map(
    ([name, { type, unit, description }]) =>
      `| \`${name}\` | ${type} | ${unit} | ${description} |`,
  );
  return [
    "# Metrics",
    "",
    "Generated from the metric table in the code; a test keeps it up to date. Names",
    "start with the configured prefix; values are tagged with `node` and `zone`.",
    "",
    "| name | type | unit | description |",
    "| --- | --- | --- | --- |",
    ...rows,
    "",
  ].join("\n");
}
