/** Structured logs and metrics. */
export {
  LogRateLimiter,
  type LogRateLimiterOptions,
} from "./log_rate_limiter.ts";
export {
  type Logger,
  type LoggerOptions,
  type LogLevel,
  makeLogger,
} from "./logger.ts";
export {
  METRIC_TABLE,
  type MetricName,
  type MetricRow,
  type MetricType,
  RETRY_REASONS,
  type RetryReason,
  STORE_PURPOSES,
  type StorePurpose,
} from "./metric_table.ts";
export { metricsReference } from "./metrics_reference.ts";
export { Metrics, type MetricsOptions } from "./metrics.ts";
export {
  type MetricLabels,
  RELAY_METRIC_TABLE,
  type RelayMetricName,
  RelayMetrics,
  type RelayMetricType,
} from "./relay_metrics.ts";
export { relayMetricsReference } from "./relay_metrics_reference.ts";
export { type LogDestination, openLogDestination } from "./log_destination.ts";
