import { Counter, Gauge, Histogram, Registry } from "prom-client";

/** How a metric of the relay is recorded. */
export type RelayMetricType = "counter" | "gauge" | "histogram";

/** One row of the table of the relay's metrics. */
export interface RelayMetricRow {
  type: RelayMetricType;
  labels: readonly string[];
  description: string;
}

/** Names of the relay's metrics; durations are in seconds. */
export type RelayMetricName = keyof typeof RELAY_METRIC_TABLE;

function row(
  type: RelayMetricType,
  labels: readonly string[],
  description: string,
): RelayMetricRow {
  return { type, labels, description };
}

/** The documented table of the relay's metrics. */
export const RELAY_METRIC_TABLE = {
  limpetshed_requests_total: row(
    "counter",
    ["kind", "outcome"],
    "Requests by the kind of their route and how they ended.",
  ),
  limpetshed_refusals_total: row(
    "counter",
    ["error", "run"],
    "Requests refused or failed, by error kind and run state.",
  ),
  limpetshed_sends_total: row(
    "counter",
    ["outcome"],
    "Sends to endpoints by how they ended.",
  ),
  limpetshed_repeats_total: row(
    "counter",
    ["reason"],
    "Sends of a request to a further endpoint, by what the one before met.",
  ),
  limpetshed_not_placed_total: row(
    "counter",
    ["reason"],
    "Requests for which no endpoint could be chosen.",
  ),
  limpetshed_copies_total: row(
    "counter",
    [],
    "Sends that had known parts of the prompt copied from another endpoint.",
  ),
  limpetshed_store_calls_total: row(
    "counter",
    ["purpose"],
    "Calls to the platform's store.",
  ),
  limpetshed_log_lines_left_out_total: row(
    "counter",
    ["event"],
    "Log lines left out to bound the volume.",
  ),
  limpetshed_answer_head_seconds: row(
    "histogram",
    ["kind"],
    "From sending a request to an endpoint to the head of its answer.",
  ),
  limpetshed_answer_seconds: row(
    "histogram",
    ["kind"],
    "From the arrival of a request to the end of its answer.",
  ),
  limpetshed_in_flight: row("gauge", [], "Requests in flight."),
  limpetshed_config_version: row("gauge", [], "Configuration in force."),
  limpetshed_state_revision: row("gauge", [], "Revision of shared state."),
  limpetshed_source_reachable: row(
    "gauge",
    ["source"],
    "Whether a source of shared state answers: 1 or 0.",
  ),
  limpetshed_log_lines_dropped: row(
    "gauge",
    [],
    "Log lines dropped since the start because nobody read them.",
  ),
  limpetshed_nodes: row("gauge", [], "Nodes known, this one included."),
} as const satisfies Record<string, RelayMetricRow>;

/** Upper bounds of the histograms' buckets; they span the target latencies of
 * plain calls and the time limits of long chats. */
const BUCKETS_S = [
  0.01,
  0.025,
  0.05,
  0.1,
  0.15,
  0.25,
  0.3,
  0.4,
  0.5,
  0.75,
  1,
  2,
  5,
  15,
];

/** Label values by name. */
export type MetricLabels = Readonly<Record<string, string>>;

/** Counters, gauges and histograms of a relay node, as text for scrapers. */
export class RelayMetrics {
  readonly #registry = new Registry();
  readonly #counters = new Map<string, Counter>();
  readonly #gauges = new Map<string, Gauge>();
  readonly #histograms = new Map<string, Histogram>();

  constructor() {
    const registers = [this.#registry];
    for (const [name, table] of Object.entries(RELAY_METRIC_TABLE)) {
      const labelNames = [...table.labels];
      const options = { name, help: table.description, labelNames, registers };
      switch (table.type) {
        case "counter":
          this.#counters.set(name, new Counter(options));
          break;
        case "gauge":
          this.#gauges.set(name, new Gauge(options));
          break;
        case "histogram":
          this.#histograms.set(
            name,
            new Histogram({ ...options, buckets: BUCKETS_S }),
          );
          break;
      }
    }
  }

  /** Adds one to a counter. */
  count(name: RelayMetricName, labels: MetricLabels = {}): void {
    this.#counters.get(name)?.inc(labels, 1);
  }

  /** Sets a gauge. */
  gauge(name: RelayMetricName, value: number, labels: MetricLabels = {}): void {
    this.#gauges.get(name)?.set(labels, value);
  }

  /** Records a duration in milliseconds. */
  timing(name: RelayMetricName, ms: number, labels: MetricLabels = {}): void {
    this.#histograms.get(name)?.observe(labels, ms / 1_000);
  }

  /** All metrics in the text format of Prometheus. */
  text(): Promise<string> {
    return this.#registry.metrics();
  }

  /** Media type of {@linkcode text}. */
  get contentType(): string {
    return this.#registry.contentType;
  }
}
