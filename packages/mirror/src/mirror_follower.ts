import { type Clock, errorText, sleep } from "@limpetshed/base";
import type { Logger } from "@limpetshed/observe";
import type { ChangeSource } from "./change_source.ts";
import type { KeyMirror } from "./key_mirror.ts";

/** Options of {@linkcode MirrorFollower}. */
export interface MirrorFollowerOptions {
  clock: Clock;
  mirror: KeyMirror;
  source: ChangeSource;
  logger: Logger;
  /** Whether to ask the source now; asked before each call. */
  isWanted?: () => boolean;
  /** First pause after a failure, milliseconds; doubles up to the longest. */
  retryMs?: number;
  /** Longest pause after failures in a row, milliseconds. */
  maxRetryMs?: number;
  /** Pause before asking again whether the source is wanted, milliseconds. */
  idleMs?: number;
}

/** Keeps a mirror up to date from one source, until closed. */
export class MirrorFollower {
  readonly #options: Required<MirrorFollowerOptions>;
  readonly #stop = new AbortController();
  readonly #task: Promise<void>;
  #failures = 0;
  #isReachable = false;
  #lastSuccessMs = Number.NEGATIVE_INFINITY;
  #lastFailureMs = Number.NEGATIVE_INFINITY;
  #lastOutageEndMs = Number.NEGATIVE_INFINITY;

  constructor(options: MirrorFollowerOptions) {
    this.#options = {
      isWanted: () => true,
      retryMs: 50,
      maxRetryMs: 400,
      idleMs: 100,
      ...options,
    };
    this.#task = this.#run();
  }

  /** Whether the last call to the source was answered. */
  get isReachable(): boolean {
    return this.#isReachable;
  }

  /** Monotonic time of the last answer; negative infinity before the first. */
  get lastSuccessMs(): number {
    return this.#lastSuccessMs;
  }

  /** Monotonic time of the last failure; negative infinity if none. */
  get lastFailureMs(): number {
    return this.#lastFailureMs;
  }

  /** Monotonic time at which the source last answered after it had failed;
   * negative infinity if it never failed. */
  get lastOutageEndMs(): number {
    return this.#lastOutageEndMs;
  }

  /** Stops following. */
  async close(): Promise<void> {
    this.#stop.abort();
    await this.#task;
  }

  async #run(): Promise<void> {
    const { clock, isWanted, idleMs } = this.#options;
    const { signal } = this.#stop;
    while (!signal.aborted) {
      if (!isWanted()) {
        // Nothing is known of a source that is not asked.
        this.#isReachable = false;
        this.#failures = 0;
        await sleep(clock, idleMs, { signal });
        continue;
      }
      try {
        await this.#round(signal);
        this.#succeeded();
      } catch (err) {
        if (!signal.aborted) {
          this.#failed(err);
          await sleep(clock, this.#pauseMs(), { signal });
        }
      }
    }
  }

  async #round(signal: AbortSignal): Promise<void> {
    const { mirror, source } = this.#options;
    const { asOf } = mirror;
    const update = asOf === 0
      ? await source.readAll({ signal })
      : this.#failures > 0
      ? await source.resume(asOf, { signal })
      : await source.next(asOf, { signal });
    if (this.#failures > 0) {
      this.#lastOutageEndMs = this.#options.clock.monotonicMs();
    }
    mirror.apply(update);
  }

  #succeeded(): void {
    this.#failures = 0;
    this.#lastSuccessMs = this.#options.clock.monotonicMs();
    if (!this.#isReachable) {
      this.#isReachable = true;
      const { logger, source, mirror } = this.#options;
      logger.info(
        { event: "source_regained", source: source.name, asOf: mirror.asOf },
        "the source of shared state answers",
      );
    }
  }

  #failed(err: unknown): void {
    this.#failures += 1;
    this.#lastFailureMs = this.#options.clock.monotonicMs();
    if (this.#isReachable || this.#failures === 1) {
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
        "the source of shared state does not answer; known state stays",
      );
    }
  }

  #pauseMs(): number {
    const { retryMs, maxRetryMs } = this.#options;
    return Math.min(maxRetryMs, retryMs * 2 ** Math.min(this.#failures - 1, 6));
  }
}
