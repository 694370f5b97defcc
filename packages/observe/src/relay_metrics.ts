import { Counter, Gauge, Histogram, Registry } from "prom-client";

/** How a relay metric is recorded. */
export type RelayMetricType = "counter" | "gauge" | "histogram";

/** Definition of a relay metric. */
export interface RelayMetricRow {
  type: RelayMetricType;
  labels: readonly string[];
  description: string;
}

/** Name of a relay metric; durations are exported in seconds. */
export type RelayMetricName = keyof typeof RELAY_METRIC_TABLE;

function row(
  type: RelayMetricType,
  labels: readonly string[],
  description: string,
): RelayMetricRow {
  return { type, labels, description };
}

/** All relay metrics by name; the reference page is generated from this table. */
export const RELAY_METRIC_TABLE = {
  limpetshed_requests_total: row(
    "counter",
    ["kind", "outcome"],
    "Requests by route kind and outcome.",
  ),
  limpetshed_refusals_total: row(
    "counter",
    ["error", "run"],
    "Requests rejected or failed, by error kind and run state.",
  ),
  limpetshed_sends_total: row(
    "counter",
    ["outcome"],
    "Attempts sent to endpoints, by outcome.",
  ),
  limpetshed_repeats_total: row(
    "counter",
    ["reason"],
    "Retries on another endpoint, by outcome of the previous attempt.",
  ),
  limpetshed_repeats_denied_total: row(
    "counter",
    ["reason"],
    "Requests that were not retried after a failed attempt, by reason.",
  ),
  limpetshed_hedges_total: row(
    "counter",
    ["outcome"],
    "Slow requests that were sent a second time, by which attempt answered.",
  ),
  limpetshed_hedges_denied_total: row(
    "counter",
    ["reason"],
    "Slow requests that were not sent a second time, by reason.",
  ),
  limpetshed_not_placed_total: row(
    "counter",
    ["reason"],
    "Requests for which no endpoint could be chosen.",
  ),
  limpetshed_malformed_limits_total: row(
    "counter",
    [],
    "Responses whose endpoint named a limit that is not a valid number.",
  ),
  limpetshed_malformed_rests_total: row(
    "counter",
    [],
    "Refusals whose endpoint asked for a rest with a value that is not valid.",
  ),
  limpetshed_resting_endpoints: row(
    "gauge",
    [],
    "Endpoints that asked this node for a rest which is not over.",
  ),
  limpetshed_unreadable_entries_total: row(
    "counter",
    ["event"],
    "Entries of shared state that cannot be read, by the log event of their kind.",
  ),
  limpetshed_stream_resumptions_total: row(
    "counter",
    ["origin"],
    "Streams that clients resume, by how it was found where they began.",
  ),
  limpetshed_rollout_steps_total: row(
    "counter",
    ["step"],
    "Steps of version rollouts at this node.",
  ),
  limpetshed_path_changes_total: row(
    "counter",
    ["path"],
    "Changes of the path to an endpoint, or to all, by the path used since.",
  ),
  limpetshed_tunnels_total: row(
    "counter",
    ["role", "outcome"],
    "Connections to endpoints by way of another node: asked for, or given as a helper.",
  ),
  limpetshed_cut_paths: row(
    "gauge",
    [],
    "Endpoints that this node reaches only by way of another node.",
  ),
  limpetshed_copies_total: row(
    "counter",
    [],
    "Attempts that requested a prompt cache copy from another endpoint.",
  ),
  limpetshed_store_calls_total: row(
    "counter",
    ["purpose"],
    "Calls to the platform's store, by purpose.",
  ),
  limpetshed_log_lines_left_out_total: row(
    "counter",
    ["event"],
    "Log lines suppressed by the rate limit of their event.",
  ),
  limpetshed_answer_head_seconds: row(
    "histogram",
    ["kind"],
    "Time from sending a request to an endpoint to its response headers.",
  ),
  limpetshed_answer_seconds: row(
    "histogram",
    ["kind"],
    "Time from the arrival of a request to the end of its response.",
  ),
  limpetshed_in_flight: row("gauge", [], "Requests in flight."),
  limpetshed_held_bytes: row(
    "gauge",
    [],
    "Memory charged for bodies of requests and unread responses, bytes.",
  ),
  limpetshed_memory_evictions: row(
    "gauge",
    [],
    "Bodies and unread responses given up since process start to make room for others.",
  ),
  limpetshed_client_connections: row(
    "gauge",
    [],
    "Open connections of clients.",
  ),
  limpetshed_connections_shed: row(
    "gauge",
    [],
    "Connections of clients closed since process start to make room for others.",
  ),
  limpetshed_config_version: row("gauge", [], "Active configuration version."),
  limpetshed_state_revision: row("gauge", [], "Revision of the shared state."),
  limpetshed_store_era: row(
    "gauge",
    [],
    "Era of the store that the shared state is of.",
  ),
  limpetshed_state_age_seconds: row(
    "gauge",
    ["keys"],
    "Time since the store confirmed a class of keys of the shared state as current, over all nodes that passed it on.",
  ),
  limpetshed_change_age_seconds: row(
    "histogram",
    ["keys"],
    "Upper bound of the time from a change of shared state to its use, by class of keys.",
  ),
  limpetshed_source_reachable: row(
    "gauge",
    ["source"],
    "Whether a source of shared state is reachable: 1 or 0.",
  ),
  limpetshed_log_lines_dropped: row(
    "gauge",
    [],
    "Log lines dropped since process start: buffer full or write error.",
  ),
  limpetshed_refused_traits: row(
    "gauge",
    [],
    "Prompt parts and requests refused because endpoints crashed while running them.",
  ),
  limpetshed_endpoint_slowness: row(
    "gauge",
    ["endpoint"],
    "How long work takes at an endpoint once disturbances of the moment are over, as a multiple of the usual time; absent while it says nothing of its speed.",
  ),
  limpetshed_endpoint_limit: row(
    "gauge",
    ["endpoint"],
    "Requests per second that an endpoint takes from all nodes together; absent while it names no limit.",
  ),
  limpetshed_nodes: row("gauge", [], "Known nodes, including this one."),
} as const satisfies Record<string, RelayMetricRow>;

/** Upper bounds of the histogram buckets. They range from the target latency of
 * plain calls to the timeout of long chats. */
const BUCKET_BOUNDS_S = [
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
  3,
  5,
  15,
];

/** Label values by name. */
export type MetricLabels = Readonly<Record<string, string>>;

/** Counters, gauges and histograms of a relay node in Prometheus format. */
export class RelayMetrics {
  readonly #registry = new Registry();
  readonly #counters = new Map<string, Counter>();
  readonly #gauges = new Map<string, Gauge>();
  readonly #histograms = new Map<string, Histogram>();

  constructor() {
    const registers = [this.#registry];
    for (const [name, definition] of Object.entries(RELAY_METRIC_TABLE)) {
      const labelNames = [...definition.labels];
      const options = {
        name,
        help: definition.description,
        labelNames,
        registers,
      };
      switch (definition.type) {
        case "counter":
          this.#counters.set(name, new Counter(options));
          break;
        case "gauge":
          this.#gauges.set(name, new Gauge(options));
          break;
        case "histogram":
          this.#histograms.set(
            name,
            new Histogram({ ...options, buckets: BUCKET_BOUNDS_S }),
          );
          break;
      }
    }
  }

  /** Increments a counter by one. */
  count(name: RelayMetricName, labels: MetricLabels = {}): void {
    this.#counters.get(name)?.inc(labels, 1);
  }

  /** Sets a gauge. */
  gauge(name: RelayMetricName, value: number, labels: MetricLabels = {}): void {
    this.#gauges.get(name)?.set(labels, value);
  }

  /** Replaces all values of a gauge with one label, by the label's value. */
  gauges(
    name: RelayMetricName,
    label: string,
    values: ReadonlyMap<string, number>,
  ): void {
    this.#gauges.get(name)?.reset();
    values.forEach((value, key) => this.gauge(name, value, { [label]: key }));
  }

  /** Records a duration given in milliseconds; exported in seconds. */
  timing(name: RelayMetricName, ms: number, labels: MetricLabels = {}): void {
    this.#histograms.get(name)?.observe(labels, ms / 1_000);
  }

  /** Renders all metrics in the Prometheus text format. */
  text(): Promise<string> {
    return this.#registry.metrics();
  }

  /** Content type of the text that {@linkcode text} returns. */
  get contentType(): string {
    return this.#registry.contentType;
  }
}
