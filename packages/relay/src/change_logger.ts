import type { Clock } from "@limpetshed/base";
import { type Logger, LogRateLimiter } from "@limpetshed/observe";

/** Logs changes of what a node knows of endpoints, at a bounded rate an event. */
export class ChangeLogger {
  readonly #logger: Logger;
  readonly #budget: LogRateLimiter;

  constructor({ clock, logger }: { clock: Clock; logger: Logger }) {
    this.#logger = logger;
    this.#budget = new LogRateLimiter({ clock });
  }

  /** Logs a change with its fields; durations are rounded. */
  log(event: string, fields: object): void {
    const suppressed = this.#budget.tryAcquire(event);
    if (suppressed !== undefined) {
      this.#logger.info({
        event,
        ...Object.fromEntries(Object.entries(fields).map(roundDuration)),
        ...(suppressed === 0 ? {} : { suppressed }),
      });
    }
  }
}

function roundDuration([name, value]: [string, unknown]): [string, unknown] {
  return [
    name,
    name.endsWith("Ms") && typeof value === "number"
      ? Math.round(value)
      : value,
  ];
}
