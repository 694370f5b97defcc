import { setMaxListeners } from "node:events";
import { type Clock, errorText, sleep } from "@limpetshed/base";
import type { Logger } from "@limpetshed/observe";
import type { ChangeReader } from "./change_source.ts";
import type { KeyClass } from "./key_class.ts";
import type { KeyMirror } from "./key_mirror.ts";
import type { PropagationBudget } from "./propagation_budget.ts";

/** Options of {@linkcode StateRefresher}. */
export interface StateRefresherOptions {
  clock: Clock;
  logger: Logger;
  mirror: KeyMirror;
  reader: ChangeReader;
  budget: PropagationBudget;
  /** Whether some other node tells that it reaches the store. */
  isStoreReachedByPeers: () => boolean;
  /** Log fields that tell what this node's usual sources of state wait for. */
  describeSources: () => Record<string, unknown>;
}

/** A call to the store in progress. */
interface Call {
  /** All keys if undefined. */
  keyClass: KeyClass | undefined;
  lastProgressMs: number;
}

/** Calls after which a refresh has failed. The budget has time for these. */
const MAX_ATTEMPTS = 3;
/** Delay between a failed call and the next one, milliseconds. */
const RETRY_DELAY_MS = 50;
/** Delay between failed refreshes while no node reaches the store,
 * milliseconds, so that an outage does not turn the fleet into its callers. */
const OUTAGE_RETRY_MS = 5_000;
/** Interval at which that is checked, milliseconds. */
const OUTAGE_CHECK_MS = 100;

/**
 * Reads from the store what the usual sources of a mirror did not confirm in
 * time. A call that is not answered in time goes on beside the next one, which
 * reads each class of keys on a connection of its own.
 */
export class StateRefresher {
  readonly #options: StateRefresherOptions;
  readonly #abortController = new AbortController();
  readonly #task: Promise<void>;

  constructor(options: StateRefresherOptions) {
    this.#options = options;
    this.#task = this.#run();
  }

  /** Ends the calls in progress. */
  async close(): Promise<void> {
    this.#abortController.abort();
    await this.#task;
  }

  async #run(): Promise<void> {
    const { clock, mirror, budget } = this.#options;
    const { signal } = this.#abortController;
    while (!signal.aborted) {
      const ageMs = clock.monotonicMs() - mirror.confirmedMs;
      // The first state is read by the followers of the mirror.
      if (mirror.asOf === 0 || ageMs <= budget.maxStateAgeMs) {
        const untilLateMs = Number.isFinite(ageMs)
          ? budget.maxStateAgeMs - ageMs + 1
          : budget.maxStateAgeMs;
        await sleep(clock, untilLateMs, { signal });
        continue;
      }
      const isRefreshed = await this.#refresh();
      if (!isRefreshed && !signal.aborted) {
        await this.#waitAfterFailure();
      }
    }
  }

  /** The classes whose keys are not confirmed within the budget. */
  #lateClasses(): KeyClass[] {
    const { clock, mirror, budget } = this.#options;
    const lastInTimeMs = clock.monotonicMs() - budget.maxStateAgeMs;
    return mirror.classes.filter((keyClass) =>
      mirror.classConfirmedMs(keyClass) < lastInTimeMs
    );
  }

  /** Reads until no class is late; false if too many calls fail. */
  async #refresh(): Promise<boolean> {
    const { clock, mirror, budget } = this.#options;
    const { signal } = this.#abortController;
    const startMs = clock.monotonicMs();
    const startAgeMs = startMs - mirror.confirmedMs;
    const sources = this.#options.describeSources();
    const lateKeys = this.#lateClasses().map(({ name }) => name);
    const calls = new Set<Call>();
    const controller = new AbortController();
    setMaxListeners(0, controller.signal);
    const abort = () => controller.abort();
    signal.addEventListener("abort", abort, { once: true });
    const failures: string[] = [];
    let attempts = 0;
    for (;;) {
      const late = this.#lateClasses();
      if (late.length === 0 || signal.aborted) {
        break;
      }
      const isTransferring = [...calls].some((call) => this.#progresses(call));
      if (attempts < MAX_ATTEMPTS) {
        this.#startCalls(attempts === 0 ? [undefined] : late, {
          calls,
          signal: controller.signal,
          onFailure: (err) => failures.push(errorText(err)),
        });
        attempts += 1;
      } else if (!isTransferring) {
        break;
      }
      await this.#waitForCalls(calls, {
        signal: controller.signal,
        mayEndEarly: attempts === 1,
      });
    }
    signal.removeEventListener("abort", abort);
    controller.abort();
    const isRefreshed = this.#lateClasses().length === 0;
    const durationMs = clock.monotonicMs() - startMs;
    this.#log({
      outcome: isRefreshed ? "refreshed" : "failed",
      keys: lateKeys,
      ageMs: Math.round(startAgeMs),
      readMs: Math.round(durationMs),
      attempts,
      failures: failures.length === 0 ? undefined : failures.slice(0, 4),
      ...sources,
    }, { isLate: startAgeMs + durationMs > budget.totalMs });
    return isRefreshed;
  }

  /** Starts a call for each class, or for all keys where it is undefined. */
  #startCalls(
    keyClasses: readonly (KeyClass | undefined)[],
    { calls, signal, onFailure }: {
      calls: Set<Call>;
      signal: AbortSignal;
      onFailure: (err: unknown) => void;
    },
  ): void {
    const { clock, mirror, reader } = this.#options;
    for (const keyClass of keyClasses) {
      if (keyClass?.isBulky === true && this.#isCarried(keyClass, calls)) {
        continue;
      }
      const call: Call = { keyClass, lastProgressMs: Number.NEGATIVE_INFINITY };
      calls.add(call);
      const after = {
        era: mirror.era,
        revision: keyClass === undefined
          ? mirror.asOf
          : mirror.classAsOf(keyClass),
      };
      const onProgress = () => {
        call.lastProgressMs = clock.monotonicMs();
      };
      reader.read({ keyClass, after, signal, onProgress }).then((update) => {
        const receivedMs = clock.monotonicMs();
        const confirmedMs = receivedMs - (update.ageMs ?? 0);
        mirror.apply(update, { receivedMs, confirmedMs });
      }).catch((err: unknown) => {
        if (!signal.aborted) {
          onFailure(err);
        }
      }).finally(() => calls.delete(call));
    }
  }

  /** Whether a call in progress already transfers what a call for the class
   * would. */
  #isCarried({ name }: KeyClass, calls: ReadonlySet<Call>): boolean {
    return [...calls].some((call) =>
      (call.keyClass === undefined || call.keyClass.name === name) &&
      this.#progresses(call)
    );
  }

  #progresses({ lastProgressMs }: Call): boolean {
    const { clock, budget } = this.#options;
    return clock.monotonicMs() - lastProgressMs < budget.callMs;
  }

  /** Waits until no class is late or the time of a call has passed. With
   * `mayEndEarly`, also until all calls have ended; not always, as a store that
   * refuses would be called without pause. */
  async #waitForCalls(
    calls: ReadonlySet<Call>,
    { signal, mayEndEarly }: { signal: AbortSignal; mayEndEarly: boolean },
  ): Promise<void> {
    const { clock, budget } = this.#options;
    const endMs = clock.monotonicMs() + budget.callMs;
    while (clock.monotonicMs() < endMs && !signal.aborted) {
      await sleep(
        clock,
        Math.min(RETRY_DELAY_MS, endMs - clock.monotonicMs()),
        { signal },
      );
      const haveEnded = mayEndEarly && calls.size === 0;
      if (haveEnded || this.#lateClasses().length === 0) {
        return;
      }
    }
  }

  /** Waits for the time of a call; for longer, until a peer reaches the store or
   * this node's state is confirmed, if no peer reaches it. */
  async #waitAfterFailure(): Promise<void> {
    const { clock, budget, isStoreReachedByPeers } = this.#options;
    const { signal } = this.#abortController;
    await sleep(clock, budget.callMs, { signal });
    const endMs = clock.monotonicMs() + OUTAGE_RETRY_MS;
    while (
      !signal.aborted && clock.monotonicMs() < endMs &&
      !isStoreReachedByPeers() && this.#lateClasses().length > 0
    ) {
      await sleep(clock, OUTAGE_CHECK_MS, { signal });
    }
  }

  #log(
    fields: Record<string, unknown>,
    { isLate }: { isLate: boolean },
  ): void {
    const { logger } = this.#options;
    if (isLate) {
      logger.warn({ event: "state_late", ...fields });
    } else {
      logger.info({ event: "state_refresh", ...fields });
    }
  }
}
