import { type Clock, repeat, type RepeatingTask } from "@limpetshed/base";
import type {
  EndpointClient,
  EndpointTarget,
  LoadReport,
} from "@limpetshed/endpoint";
import type { Rng } from "@limpetshed/hashing";

/**
 * Health of an endpoint as its owner sees it; `unknown`: too few probes have
 * ended to tell; `leaving`: the endpoint reports that it is draining.
 */
export type EndpointHealth =
  | "unknown"
  | "starting"
  | "ready"
  | "leaving"
  | "down";

/** Options of {@linkcode EndpointMonitor}. */
export interface EndpointMonitorOptions {
  clock: Clock;
  rng: Rng;
  client: EndpointClient;
  target: EndpointTarget;
  /** Called after every probe. */
  onProbed: (monitor: EndpointMonitor) => void;
  /** Milliseconds between probes. */
  intervalMs?: number;
  /** Timeout for a load report, in milliseconds. */
  timeoutMs?: number;
}

/** Consecutive failed probes after which an endpoint is down. */
const DOWN_AFTER_FAILURES = 2;

/** Polls the load reports of an owned endpoint and derives its health. */
export class EndpointMonitor {
  readonly #options: Required<EndpointMonitorOptions>;
  #probeLoop: RepeatingTask | undefined;
  #failures = 0;
  #health: EndpointHealth = "unknown";
  #report: LoadReport | undefined;
  #lastCacheEventSequence = 0;
  #isSuspect = false;
  #probedAtMs = Number.NEGATIVE_INFINITY;

  constructor(options: EndpointMonitorOptions) {
    this.#options = { intervalMs: 1_000, timeoutMs: 1_000, ...options };
  }

  /** Health; requests are admitted only while `starting` or `ready`. */
  get health(): EndpointHealth {
    return this.#isSuspect ? "down" : this.#health;
  }

  /** The last load report received. */
  get report(): LoadReport | undefined {
    return this.#report;
  }

  /** Id and address of the endpoint. */
  get target(): EndpointTarget {
    return this.#options.target;
  }

  /** When the last successful probe was sent, monotonic milliseconds. */
  get probedAtMs(): number {
    return this.#probedAtMs;
  }

  /** Starts periodic probes. */
  start(): void {
    const { clock, rng, intervalMs } = this.#options;
    this.#probeLoop = repeat(clock, () => this.probe(), {
      intervalMs,
      jitter: () => rng.jitter(),
      onError: () => undefined,
    });
  }

  /** Fetches a load report and updates the health. */
  async probe(): Promise<void> {
    const { client, target, timeoutMs, clock } = this.#options;
    const sentAtMs = clock.monotonicMs();
    try {
      const report = await client.fetchLoadReport(target, {
        eventsAfter: this.#lastCacheEventSequence,
        timeoutMs,
      });
      this.#probedAtMs = sentAtMs;
      this.#applyReport(report);
    } catch {
      this.#failures += 1;
      if (this.#failures >= DOWN_AFTER_FAILURES || this.#isSuspect) {
        this.#health = "down";
      }
    }
    this.#options.onProbed(this);
  }

  /**
   * Treats the endpoint as down until a probe succeeds. Called after a failed
   * connection to it.
   */
  markSuspect(): void {
    this.#isSuspect = true;
    void this.probe();
  }

  /** Stops probing. */
  async close(): Promise<void> {
    await this.#probeLoop?.close();
  }

  #applyReport(report: LoadReport): void {
    this.#failures = 0;
    this.#isSuspect = false;
    // A restarted endpoint numbers its cache events anew.
    if (report.bootId !== this.#report?.bootId) {
      this.#lastCacheEventSequence = 0;
    }
    for (const { sequence } of report.cacheEvents) {
      this.#lastCacheEventSequence = Math.max(
        this.#lastCacheEventSequence,
        sequence,
      );
    }
    this.#report = report;
    this.#health = toHealth(report);
  }
}

function toHealth(report: LoadReport): EndpointHealth {
  switch (report.state) {
    case "starting":
      return "starting";
    case "ready":
      return "ready";
    case "draining":
      return "leaving";
  }
}
