import { type Clock, repeat, type RepeatingTask } from "@limpetshed/base";
import type {
  EndpointClient,
  EndpointTarget,
  LoadReport,
} from "@limpetshed/endpoint";
import type { Rng } from "@limpetshed/hashing";

/** Health of an endpoint as its owner sees it. */
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

const DOWN_AFTER_FAILURES = 2;

/** Polls the load reports of an owned endpoint and derives its health. */
export class EndpointMonitor {
  readonly #options: Required<EndpointMonitorOptions>;
  #probing: RepeatingTask | undefined;
  #failures = 0;
  #health: EndpointHealth = "unknown";
  #report: LoadReport | undefined;
  #eventSequence = 0;
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
    this.#probing = repeat(clock, () => this.probe(), {
      intervalMs: intervalMs,
      jitter: () => rng.jitter(),
      onError: () => undefined,
    });
  }

  /** Probes once. */
  async probe(): Promise<void> {
    const { client, target, timeoutMs, clock } = this.#options;
    const sentAtMs = clock.monotonicMs();
    try {
      const report = await client.fetchLoadReport(target, {
        eventsAfter: this.#eventSequence,
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

  /** Treats the endpoint as down until a probe succeeds (lost connection). */
  suspect(): void {
    this.#isSuspect = true;
    void this.probe();
  }

  /** Stops probing. */
  async close(): Promise<void> {
    await this.#probing?.close();
  }

  #applyReport(report: LoadReport): void {
    this.#failures = 0;
    this.#isSuspect = false;
    if (report.bootId !== this.#report?.bootId) {
      this.#eventSequence = 0;
    }
    for (const { sequence } of report.cacheEvents) {
      this.#eventSequence = Math.max(this.#eventSequence, sequence);
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
