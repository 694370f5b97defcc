import { type Clock, withTimeout } from "@limpetshed/base";
import type { ChangeReader } from "./change_source.ts";
import type { KeyMirror } from "./key_mirror.ts";

/** Options of {@linkcode StateConfirmer}. */
export interface StateConfirmerOptions {
  clock: Clock;
  mirror: KeyMirror;
  reader: ChangeReader;
  /** Time after which a read has failed, milliseconds. */
  timeoutMs: number;
}

/** Confirms the state of a mirror on demand, for decisions that must not rest on a
 * state from before a moment. Callers share reads. */
export class StateConfirmer {
  readonly #options: StateConfirmerOptions;
  readonly #abortController = new AbortController();
  /** Monotonic time at which the last read that succeeded began. */
  #lastStartMs = Number.NEGATIVE_INFINITY;
  #read: Promise<boolean> | undefined;

  constructor(options: StateConfirmerOptions) {
    this.#options = options;
  }

  /** Resolves to true once a read that began after the monotonic time `afterMs` is
   * applied; to false if one fails. */
  async confirm(afterMs: number): Promise<boolean> {
    while (this.#lastStartMs <= afterMs) {
      this.#read ??= this.#readAll().finally(() => {
        this.#read = undefined;
      });
      if (!await this.#read) {
        return false;
      }
    }
    return true;
  }

  /** Ends the read in progress. */
  close(): void {
    this.#abortController.abort();
  }

  async #readAll(): Promise<boolean> {
    const { clock, mirror, reader, timeoutMs } = this.#options;
    const { signal } = this.#abortController;
    const startMs = clock.monotonicMs();
    try {
      const update = await withTimeout(
        clock,
        reader.read({
          keyClass: undefined,
          after: mirror.position,
          signal,
          onProgress: () => undefined,
        }),
        {
          ms: timeoutMs,
          onTimeout: () => new Error("the state was not confirmed in time"),
        },
      );
      const receivedMs = clock.monotonicMs();
      const confirmedMs = receivedMs - (update.ageMs ?? 0);
      mirror.apply(update, { receivedMs, confirmedMs });
      this.#lastStartMs = startMs;
      return true;
    } catch {
      // The followers of the store log its outages.
      return false;
    }
  }
}
