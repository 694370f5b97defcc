import { type Clock, sleep, withProgressTimeout } from "@limpetshed/base";
import {
  type ChangeBatch,
  type ChangeReader,
  ChangeSource,
  type KeyChange,
  type ReadChangesOptions,
  type Snapshot,
  type StorePosition,
} from "@limpetshed/mirror";
import { type SimulatedLink, transfer } from "./simulated_link.ts";

/** What happens to one call. */
export type CallOutcome = "answered" | "swallowed" | "refused";

/** Round trip to the store and back, milliseconds. */
const ROUND_TRIP_MS = 4;
/** Bytes of a response besides its values. */
const RESPONSE_BYTES = 300;
/** Responses of this size are large. */
const BULK_BYTES = 50_000;
/** Limits of the real client, milliseconds. */
const CALL_TIMEOUT_MS = 1_200;
const TRANSFER_TIMEOUT_MS = 4_000;

/** A key-value store that nodes reach over simulated links. */
export class SimulatedStore {
  readonly history: (KeyChange & { ackMs: number; bytes: number })[] = [];
  /** Added to the response time of large responses, milliseconds. */
  bulkDelayMs = 0;
  readonly #clock: Clock;
  readonly #waiters = new Set<() => void>();
  #calls = 0;

  constructor({ clock }: { clock: Clock }) {
    this.#clock = clock;
  }

  /** Number of calls received. */
  get calls(): number {
    return this.#calls;
  }

  get revision(): number {
    return this.history.at(-1)?.revision ?? 1;
  }

  /** Bytes that changes take in a response. */
  sizeOf(changes: readonly KeyChange[]): number {
    const bytesByRevision = new Map(
      this.history.map(({ revision, bytes }) => [revision, bytes]),
    );
    return changes.reduce(
      (sum, { revision }) => sum + (bytesByRevision.get(revision) ?? 0),
      RESPONSE_BYTES,
    );
  }

  /** Writes a key whose value has a given size; it is acknowledged at once. */
  put(key: string, { bytes }: { bytes: number }): void {
    const revision = this.revision + 1;
    const ackMs = this.#clock.monotonicMs();
    this.history.push({ key, value: String(revision), revision, ackMs, bytes });
    [...this.#waiters].forEach((notify) => notify());
  }

  /** Answers a call for changes after a revision, or never. */
  async changes(
    { prefixes, after, waitMs, link, outcome, signal, onProgress }: {
      prefixes: readonly string[];
      after: number;
      waitMs: number;
      link: SimulatedLink;
      outcome: CallOutcome;
      signal: AbortSignal;
      onProgress: () => void;
    },
  ): Promise<ChangeBatch> {
    this.#calls += 1;
    if (outcome === "swallowed") {
      return await new Promise(() => undefined);
    }
    await sleep(this.#clock, ROUND_TRIP_MS, { signal });
    if (outcome === "refused") {
      throw new Error("refused");
    }
    const find = () =>
      this.history.filter(({ key, revision }) =>
        revision > after && prefixes.some((prefix) => key.startsWith(prefix))
      );
    if (waitMs > 0 && find().length === 0) {
      await this.#waitForChange(waitMs, signal);
    }
    const found = find();
    const asOf = this.revision;
    const headMs = this.#clock.monotonicMs();
    const bytes = found.reduce((sum, change) => sum + change.bytes, 0);
    if (bytes >= BULK_BYTES) {
      await sleep(this.#clock, this.bulkDelayMs, { signal });
    }
    await transfer(this.#clock, [link], {
      bytes: RESPONSE_BYTES + bytes,
      signal,
      onProgress,
    });
    const ageMs = this.#clock.monotonicMs() - headMs;
    return { kind: "changes", changes: found, asOf, ageMs };
  }

  async #waitForChange(waitMs: number, signal: AbortSignal): Promise<void> {
    const controller = new AbortController();
    const notify = () => controller.abort();
    this.#waiters.add(notify);
    signal.addEventListener("abort", notify, { once: true });
    await sleep(this.#clock, waitMs, { signal: controller.signal });
    signal.removeEventListener("abort", notify);
    this.#waiters.delete(notify);
  }
}

/** Options of {@linkcode SimulatedStoreSource}. */
export interface SimulatedStoreSourceOptions {
  clock: Clock;
  store: SimulatedStore;
  /** Link from the store to the node. */
  link: SimulatedLink;
  watchWaitMs: number;
  /** Returns what happens to the next call of the node. */
  nextOutcome: () => CallOutcome;
}

/** Reads and watches the simulated store, with the limits of the real client. */
export class SimulatedStoreSource extends ChangeSource implements ChangeReader {
  readonly name = "store";
  readonly #options: SimulatedStoreSourceOptions;

  constructor(options: SimulatedStoreSourceOptions) {
    super();
    this.#options = options;
  }

  readAll({ signal }: { signal: AbortSignal }): Promise<Snapshot> {
    return this.#call([""], { after: 0, waitMs: 0, signal })
      .then(({ changes, asOf, ageMs }) => ({
        kind: "snapshot",
        entries: latestOfEachKey(changes),
        asOf,
        ageMs,
      }));
  }

  waitForChanges(
    { revision: after }: StorePosition,
    { signal }: { signal: AbortSignal },
  ): Promise<ChangeBatch> {
    const { watchWaitMs: waitMs } = this.#options;
    return this.#call([""], { after, waitMs, signal });
  }

  async read(
    { keyClass, after, signal, onProgress }: ReadChangesOptions,
  ): Promise<ChangeBatch> {
    const prefixes = keyClass?.prefixes ?? [""];
    const call = { after: after.revision, waitMs: 0, signal, onProgress };
    const batch = await this.#call(prefixes, call);
    return { ...batch, keyClass: keyClass?.name };
  }

  #call(
    prefixes: readonly string[],
    { after, waitMs, signal, onProgress: report = () => undefined }: {
      after: number;
      waitMs: number;
      signal: AbortSignal;
      onProgress?: () => void;
    },
  ): Promise<ChangeBatch> {
    const { clock, store, link, nextOutcome } = this.#options;
    const outcome = nextOutcome();
    return withProgressTimeout(
      clock,
      (onProgress) =>
        store.changes({
          prefixes,
          after,
          waitMs,
          link,
          outcome,
          signal,
          onProgress: () => {
            onProgress();
            report();
          },
        }),
      {
        idleMs: waitMs + CALL_TIMEOUT_MS,
        totalMs: waitMs + CALL_TIMEOUT_MS + TRANSFER_TIMEOUT_MS,
        onTimeout: () => new Error("timed out"),
      },
    );
  }
}

function latestOfEachKey(changes: readonly KeyChange[]): KeyChange[] {
  return [...new Map(changes.map((change) => [change.key, change])).values()];
}
