import { type Clock, errorText, sharedWakeUpMs, sleep } from "@limpetshed/base";
import type { Logger } from "@limpetshed/observe";
import type { ChangeBatch, ChangeSource, Snapshot } from "./change_source.ts";
import type { KeyMirror } from "./key_mirror.ts";
import { UNNAMED_ERA } from "./store_position.ts";

/** Options of {@linkcode MirrorFollower}. */
export interface MirrorFollowerOptions {
  clock: Clock;
  mirror: KeyMirror;
  source: ChangeSource;
  logger: Logger;
  /** Whether to poll the source; checked before each call. */
  isEnabled?: () => boolean;
  /** Delay before the next call after one that brought changes, milliseconds: in
   * a large deployment something changes all the time, and calls would follow each
   * other without a pause. */
  gatherMs?: number;
  /** Delay after the first failure, milliseconds; doubles with each further
   * failure up to `maxRetryDelayMs`. */
  initialRetryDelayMs?: number;
  /** Upper bound of the retry delay, milliseconds. */
  maxRetryDelayMs?: number;
  /** Interval at which `isEnabled` is checked while it is false,
   * milliseconds. */
  disabledPollMs?: number;
}

/** Polls one source and applies its updates to a mirror, until closed. */
export class MirrorFollower {
  readonly #options: Required<MirrorFollowerOptions>;
  readonly #abortController = new AbortController();
  readonly #task: Promise<void>;
  #consecutiveFailures = 0;
  #isReachable = false;
  #lastSuccessMs = Number.NEGATIVE_INFINITY;
  #lastFailureMs = Number.NEGATIVE_INFINITY;
  #callStartMs: number | undefined;

  constructor(options: MirrorFollowerOptions) {
    this.#options = {
      isEnabled: () => true,
      gatherMs: 0,
      initialRetryDelayMs: 50,
      maxRetryDelayMs: 400,
      disabledPollMs: 100,
      ...options,
    };
    this.#task = this.#run();
  }

  /** Whether the last call to the source succeeded; false while disabled. */
  get isReachable(): boolean {
    return this.#isReachable;
  }

  /** Monotonic time of the last successful call; negative infinity if none. */
  get lastSuccessMs(): number {
    return this.#lastSuccessMs;
  }

  /** Monotonic time of the last failed call; negative infinity if none. */
  get lastFailureMs(): number {
    return this.#lastFailureMs;
  }

  /** Time for which the call in progress has waited, milliseconds; undefined if
   * there is none. */
  get pendingMs(): number | undefined {
    return this.#callStartMs === undefined
      ? undefined
      : this.#options.clock.monotonicMs() - this.#callStartMs;
  }

  /** Stops polling and waits for the call in progress to end. */
  async close(): Promise<void> {
    this.#abortController.abort();
    await this.#task;
  }

  async #run(): Promise<void> {
    const { clock, isEnabled, disabledPollMs } = this.#options;
    const { signal } = this.#abortController;
    while (!signal.aborted) {
      if (!isEnabled()) {
        // The state of a source that is not polled is unknown.
        this.#isReachable = false;
        this.#consecutiveFailures = 0;
        await sleep(clock, sharedWakeUpMs(clock, disabledPollMs), { signal });
        continue;
      }
      try {
        const pauseMs = await this.#fetchAndApplyUpdate(signal);
        this.#recordSuccess();
        if (pauseMs > 0) {
          await sleep(clock, pauseMs, { signal });
        }
      } catch (err) {
        if (!signal.aborted) {
          this.#recordFailure(err);
          await sleep(clock, this.#retryDelayMs(), { signal });
        }
      }
    }
  }

  /** Resolves to the time to wait before the next call, milliseconds. */
  async #fetchAndApplyUpdate(signal: AbortSignal): Promise<number> {
    const { mirror, source, clock, gatherMs, maxRetryDelayMs } = this.#options;
    const { position } = mirror;
    this.#callStartMs = clock.monotonicMs();
    let update: ChangeBatch | Snapshot;
    try {
      update = position.revision === 0
        ? await source.readAll({ signal })
        : this.#consecutiveFailures > 0
        ? await source.resume(position, { signal })
        : await source.waitForChanges(position, { signal });
    } finally {
      this.#callStartMs = undefined;
    }
    const receivedMs = clock.monotonicMs();
    const confirmedMs = receivedMs - (update.ageMs ?? 0);
    const isApplied = mirror.apply(update, { receivedMs, confirmedMs });
    if (update.kind === "changes") {
      const { era = UNNAMED_ERA } = update;
      if (!isApplied && era !== position.era) {
        throw new Error(`the changes are of era ${era}, not ${position.era}`);
      }
      return update.changes.length > 0 ? gatherMs : 0;
    }
    // A source that returned the same snapshot again would be called without a
    // pause.
    return isApplied ? 0 : maxRetryDelayMs;
  }

  #recordSuccess(): void {
    this.#consecutiveFailures = 0;
    this.#lastSuccessMs = this.#options.clock.monotonicMs();
    if (!this.#isReachable) {
      this.#isReachable = true;
      const { logger, source, mirror } = this.#options;
      logger.info(
        { event: "source_regained", source: source.name, asOf: mirror.asOf },
        "shared-state source is reachable",
      );
    }
  }

  #recordFailure(err: unknown): void {
    this.#consecutiveFailures += 1;
    this.#lastFailureMs = this.#options.clock.monotonicMs();
    if (this.#isReachable || this.#consecutiveFailures === 1) {
      this.#isReachable = false;
      const { logger, source, mirror, clock } = this.#options;
      const ageMs = Math.round(clock.monotonicMs() - this.#lastSuccessMs);
      logger.warn(
        {
          event: "source_lost",
          source: source.name,
          asOf: mirror.asOf,
          ageMs: Number.isFinite(ageMs) ? ageMs : undefined,
          err: errorText(err),
        },
        "shared-state source is unreachable; keeping the last known state",
      );
    }
  }

  #retryDelayMs(): number {
    const { initialRetryDelayMs, maxRetryDelayMs } = this.#options;
    // The exponent is capped so that the power stays finite in a long outage.
    return Math.min(
      maxRetryDelayMs,
      initialRetryDelayMs * 2 ** Math.min(this.#consecutiveFailures - 1, 6),
    );
  }
}
