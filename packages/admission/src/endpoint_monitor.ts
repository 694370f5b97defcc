import { type Clock, repeat, type Repeating } from "@limpetshed/base";
import type {
  EndpointClient,
  EndpointTarget,
  LoadReport,
} from "@limpetshed/endpoint";
import type { Rng } from "@limpetshed/hashing";

/** State of an endpoint as its owner sees it. */
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
  /** Milliseconds between two probes. */
  intervalMs?: number;
  /** Longest wait for a load report, in milliseconds. */
  timeoutMs?: number;
}

const FAILURES_UNTIL_DOWN = 2;

/** Probes one endpoint while this node owns it. */
export class EndpointMonitor {
  readonly #options: Required<EndpointMonitorOptions>;
  #probing: Repeating | undefined;
  #failures = 0;
  #health: EndpointHealth = "unknown";
  #report: LoadReport | undefined;
  #eventSequence = 0;
  #suspectSinceProbe = false;
  #probedAtMs = Number.NEGATIVE_INFINITY;

  constructor(options: EndpointMonitorOptions) {
    this.#options = { intervalMs: 1_000, timeoutMs: 1_000, ...options };
  }

  /** The endpoint's state; no work goes to one that is not starting or ready. */
  get health(): EndpointHealth {
    return this.#suspectSinceProbe ? "down" : this.#health;
  }

  /** The last load report. */
  get report(): LoadReport | undefined {
    return this.#report;
  }

  /** Where the endpoint is reached. */
  get target(): EndpointTarget {
    return this.#options.target;
  }

  /** When the last answered probe was sent, monotonic milliseconds. */
  get probedAtMs(): number {
    return this.#probedAtMs;
  }

  /** Starts probing. */
  start(): void {
    const { clock, rng, intervalMs } = this.#options;
    this.#probing = repeat(clock, () => this.probe(), {
      everyMs: intervalMs,
      jitter: () => rng.jitter(),
      onError: () => undefined,
    });
  }

  /** Probes once. */
  async probe(): Promise<void> {
    const { client, target, timeoutMs, clock } = this.#options;
    const sentAtMs = clock.monotonicMs();
    try {
      const report = await client.readLoad(target, {
        eventsAfter: this.#eventSequence,
        timeoutMs,
      });
      this.#probedAtMs = sentAtMs;
      this.#take(report);
    } catch {
      this.#failures += 1;
      if (this.#failures >= FAILURES_UNTIL_DOWN || this.#suspectSinceProbe) {
        this.#health = "down";
      }
    }
    this.#options.onProbed(this);
  }

  /** A connection to the endpoint was lost: no new work until it answers. */
  suspect(): void {
    this.#suspectSinceProbe = true;
    void this.probe();
  }

  /** Stops probing. */
  async close(): Promise<void> {
    await this.#probing?.close();
  }

  #take(report: LoadReport): void {
    this.#failures = 0;
    this.#suspectSinceProbe = false;
    if (report.bootId !== this.#report?.bootId) {
      this.#eventSequence = 0;
    }
    for (const { sequence } of report.cacheEvents) {
      this.#eventSequence = Math.max(this.#eventSequence, sequence);
    }
    this.#report = report;
    this.#health = healthOf(report);
  }
}

function healthOf(report: LoadReport): EndpointHealth {
  switch (report.state) {
    case "starting":
      return "starting";
    case "ready":
      return "ready";
    case "draining":
      return "leaving";
  }
}
