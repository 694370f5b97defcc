import { StatsD } from "hot-shots";
import type { ErrorKind } from "@limpetshed/errors";
import type { MetricName, RetryReason, StorePurpose } from "./metric_table.ts";

/** Options of {@linkcode Metrics}. */
export interface MetricsOptions {
  /** StatsD server; if omitted, values are only kept in memory. */
  statsd?: { host: string; port: number };
  /** Prefix of every metric name sent to the StatsD server. */
  prefix?: string;
  /** Tags sent with every value. */
  tags?: Record<string, string>;
}

const MAX_DATAGRAM_BYTES = 1_400;
const FLUSH_INTERVAL_MS = 1_000;

/** Counters, gauges and timings, kept in memory and sent to StatsD. */
export class Metrics {
  readonly #values = new Map<MetricName, number>();
  readonly #client: StatsD | undefined;

  constructor(
    { statsd, prefix = "limpetshed.", tags = {} }: MetricsOptions = {},
  ) {
    if (statsd !== undefined) {
      this.#client = new StatsD({
        host: statsd.host,
        port: statsd.port,
        prefix,
        globalTags: tags,
        maxBufferSize: MAX_DATAGRAM_BYTES,
        bufferFlushInterval: FLUSH_INTERVAL_MS,
        errorHandler: () => undefined,
      });
    }
  }

  /** Increments a counter by `by`. */
  count(name: MetricName, by = 1): void {
    this.#values.set(name, (this.#values.get(name) ?? 0) + by);
    this.#client?.increment(name, by);
  }

  /** Sets a gauge. */
  gauge(name: MetricName, value: number): void {
    this.#values.set(name, value);
    this.#client?.gauge(name, value);
  }

  /** Sends a duration in milliseconds; not kept in memory. */
  timing(name: MetricName, ms: number): void {
    this.#client?.timing(name, ms);
  }

  /** Counts one error response of the given kind. */
  countRefusal(kind: ErrorKind): void {
    this.count(`refusal.${kind}`);
  }

  /** Counts one retry. */
  countRetry(reason: RetryReason): void {
    this.count(`retry.${reason}`);
  }

  /** Counts one store call. */
  countStoreCall(purpose: StorePurpose): void {
    this.count(`store.call.${purpose}`);
  }

  /** Current value of a counter or gauge; 0 if never recorded. */
  value(name: MetricName): number {
    return this.#values.get(name) ?? 0;
  }

  /** All counters and gauges recorded so far, sorted by name. */
  snapshot(): Record<string, number> {
    return Object.fromEntries([...this.#values].sort());
  }

  /** Flushes buffered values and closes the socket. */
  async close(): Promise<void> {
    const client = this.#client;
    if (client !== undefined) {
      await new Promise<void>((resolve) => client.close(() => resolve()));
    }
  }
}
