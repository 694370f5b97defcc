import { StatsD } from "hot-shots";
import type { ErrorKind } from "@limpetshed/errors";
import type { MetricName, RetryReason, StorePurpose } from "./metric_table.ts";

/** Options of {@linkcode Metrics}. */
export interface MetricsOptions {
  /** StatsD server; without it, values are only kept in the process. */
  statsd?: { host: string; port: number };
  /** Prefix of every name sent to the StatsD server. */
  prefix?: string;
  /** Tags sent with every value. */
  tags?: Record<string, string>;
}

const FLUSH_BYTES = 1_400;
const FLUSH_INTERVAL_MS = 1_000;

/** Counts, gauges and timings; kept in the process and sent by StatsD. */
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
        maxBufferSize: FLUSH_BYTES,
        bufferFlushInterval: FLUSH_INTERVAL_MS,
        errorHandler: () => undefined,
      });
    }
  }

  /** Adds `by` to a counter. */
  count(name: MetricName, by = 1): void {
    this.#values.set(name, (this.#values.get(name) ?? 0) + by);
    this.#client?.increment(name, by);
  }

  /** Sets a gauge. */
  gauge(name: MetricName, value: number): void {
    this.#values.set(name, value);
    this.#client?.gauge(name, value);
  }

  /** Records a duration in milliseconds. */
  timing(name: MetricName, ms: number): void {
    this.#client?.timing(name, ms);
  }

  /** Counts one refusal or failure told to a caller. */
  refused(kind: ErrorKind): void {
    this.count(`refusal.${kind}`);
  }

  /** Counts one further attempt. */
  retried(reason: RetryReason): void {
    this.count(`retry.${reason}`);
  }

  /** Counts one call to the store. */
  storeCall(purpose: StorePurpose): void {
    this.count(`store.call.${purpose}`);
  }

  /** Current value of a counter or gauge; 0 if never set. */
  value(name: MetricName): number {
    return this.#values.get(name) ?? 0;
  }

  /** All values set so far, by name. */
  snapshot(): Record<string, number> {
    return Object.fromEntries([...this.#values].sort());
  }

  /** Sends what is buffered and closes the socket. */
  async close(): Promise<void> {
    const client = this.#client;
    if (client !== undefined) {
      await new Promise<void>((resolve) => client.close(() => resolve()));
    }
  }
}
