import { RELAY_METRIC_TABLE } from "./relay_metrics.ts";

/** The reference page of the relay's metrics, in Markdown. */
export function relayMetricsReference(): string {
  const rows = Object.entries(RELAY_METRIC_TABLE).map(
    ([name, { type, labels, description }]) =>
      `| \`${name}\` | ${type} | ${
        labels.map((label) => `\`${label}\``).join(", ")
      } | ${description} |`,
  );
  return [
    "# Metrics of the relay",
    "",
    "Made from the table in the code; a test keeps it current. Served as text on",
    "the metrics address. Durations are in seconds.",
    "",
    "| name | kind | labels | meaning |",
    "| --- | --- | --- | --- |",
    ...rows,
    "",
  ].join("\n");
}
