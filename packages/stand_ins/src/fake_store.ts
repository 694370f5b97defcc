import { AsyncQueue, type Clock, sleep } from "@limpetshed/base";
import { RouterError } from "@limpetshed/errors";
import {
  Store,
  type StoreChange,
  type StoreEntry,
  type StoreLease,
  type StoreTransaction,
  type StoreTransactionResult,
} from "@limpetshed/store";
import type { KvEngine } from "./kv_engine.ts";
import { type KvFaults, noKvFaults } from "./kv_faults.ts";

/** In-process {@linkcode Store} over a KvEngine, with fault injection. */
export class FakeStore extends Store {
  readonly faults: KvFaults;
  readonly #engine: KvEngine;
  readonly #clock: Clock;
  readonly #breakWatches = new Set<(err: Error) => void>();
  readonly #gate: () => Promise<void>;
  #callCount = 0;

  /** `gate` resolves once the calling node is not paused. */
  constructor({
    engine,
    clock,
    faults = noKvFaults(),
    gate = () => Promise.resolve(),
  }: {
    engine: KvEngine;
    clock: Clock;
    faults?: KvFaults;
    gate?: () => Promise<void>;
  }) {
    super();
    this.#engine = engine;
    this.#clock = clock;
    this.faults = faults;
    this.#gate = gate;
  }

  /** Number of calls received; a watch counts as one. */
  get calls(): number {
    return this.#callCount;
  }

  async get(key: string): Promise<StoreEntry | undefined> {
    return await this.#read(() => this.#engine.get(key));
  }

  async list(prefix: string): Promise<StoreEntry[]> {
    return await this.#read(() => this.#engine.list(prefix));
  }

  async transact(txn: StoreTransaction): Promise<StoreTransactionResult> {
    return await this.#write(() => this.#engine.transact(txn));
  }

  async grantLease(ttlMs: number): Promise<StoreLease> {
    return await this.#write(() => ({
      id: this.#engine.grantLease(ttlMs),
      ttlMs,
    }));
  }

  async keepAlive(id: bigint): Promise<boolean> {
    return await this.#write(() => this.#engine.keepAlive(id) > 0);
  }

  async revokeLease(id: bigint): Promise<void> {
    await this.#write(() => this.#engine.endLease(id));
  }

  async *watch(
    key: string,
    { signal, onOpen }: { signal: AbortSignal; onOpen?: () => void },
  ): AsyncIterable<StoreChange> {
    this.#callCount += 1;
    if (this.faults.down) {
      throw unavailable();
    }
    const queue = new AsyncQueue<StoreChange>();
    let failure: Error | undefined;
    const breakWatch = (err: Error) => {
      failure = err;
      queue.close();
    };
    const unwatch = this.#engine.watch(key, (change) => {
      if (!this.faults.down) {
        queue.push(change);
      }
    });
    this.#breakWatches.add(breakWatch);
    signal.addEventListener("abort", () => queue.close(), { once: true });
    onOpen?.();
    try {
      yield* queue;
      if (failure !== undefined) {
        throw failure;
      }
    } finally {
      unwatch();
      this.#breakWatches.delete(breakWatch);
    }
  }

  /** Fails all open watches, as a lost connection would. */
  breakWatches(): void {
    for (const breakWatch of [...this.#breakWatches]) {
      breakWatch(unavailable());
    }
  }

  close(): Promise<void> {
    return Promise.resolve();
  }

  async #read<T>(action: () => T): Promise<T> {
    const fault = await this.#chooseFault("read");
    if (fault !== "none") {
      throw unavailable();
    }
    const value = action();
    await this.#gate();
    return value;
  }

  async #write<T>(action: () => T): Promise<T> {
    const fault = await this.#chooseFault("write");
    switch (fault) {
      case "none": {
        const value = action();
        await this.#gate();
        return value;
      }
      case "down":
      case "rate_limited":
        throw unavailable();
      case "answer_lost":
        action();
        await this.#gate();
        throw outcomeUnknown();
      case "late_effect":
        this.#clock.setTimer(this.faults.lateEffectDelayMs, () => action());
        throw outcomeUnknown();
    }
  }

  async #chooseFault(kind: "read" | "write") {
    this.#callCount += 1;
    if (this.faults.delayMs > 0) {
      await sleep(this.#clock, this.faults.delayMs);
    }
    return this.faults.down ? "down" : this.faults.choose(kind);
  }
}

function unavailable(): RouterError {
  return new RouterError("store_unavailable", "the store does not answer");
}

function outcomeUnknown(): RouterError {
  return new RouterError(
    "store_outcome_unknown",
    "the store's answer to a write did not arrive",
  );
}
