import { RELAY_METRIC_TABLE } from "./relay_metrics.ts";

/** Generates the Markdown reference page of the relay metrics. */
export function relayMetricsReference(): string {
  const rows = Object.entries(RELAY_METRIC_TABLE).map(
    ([name, { type, labels, description }]) =>
      `| \`${name}\` | ${type} | ${
        labels.map((label) => `\`${label}\``).join(", ")
      } | ${description} |`,
  );
  return [
    "# Relay metrics",
    "",
    "Generated from the metric table in the code; a test keeps it up to date. Served",
    "in Prometheus text format on the metrics address. Durations are in seconds.",
    "",
    "| name | type | labels | description |",
    "| --- | --- | --- | --- |",
    ...rows,
    "",
  ].join("\n");
}
