import { ManualClock } from "@limpetshed/base";
import { makeLogger } from "@limpetshed/observe";
import { expect } from "chai";
import { describe, it } from "mocha";
import {
  type ConditionalWrite,
  RolloutStatusWriter,
} from "../src/rollout_status_writer.ts";

/** A store with one key. */
class OneKeyStore {
  revision = 5;
  calls = 0;
  readonly values: string[] = [];
  /** Answers that are lost after the write, and calls that fail before it. */
  lostAnswers = 0;
  failures = 0;

  putIf({ expect, value }: ConditionalWrite): Promise<number | undefined> {
    this.calls += 1;
    if (this.failures > 0) {
      this.failures -= 1;
      return Promise.reject(new Error("away"));
    }
    if (expect[0]!.revision !== this.revision) {
      return Promise.resolve(undefined);
    }
    this.revision += 1;
    this.values.push(value);
    if (this.lostAnswers > 0) {
      this.lostAnswers -= 1;
      return Promise.reject(new Error("no answer"));
    }
    return Promise.resolve(this.revision);
  }
}

/** Nodes that wish for values; all learn of a write after `newsMs`. */
class Writers {
  readonly clock = new ManualClock();
  readonly store = new OneKeyStore();
  readonly #writers: RolloutStatusWriter[];

  constructor(readonly ranks: readonly number[]) {
    this.#writers = ranks.map((rank) =>
      new RolloutStatusWriter({
        clock: this.clock,
        logger: makeLogger({ destination: { write: () => undefined } }),
        store: this.store,
        rank: () => rank,
      })
    );
  }

  /** Lets them wish for as long as they don't know of a write. */
  async run(
    ms: number,
    { values, newsMs }: { values: readonly string[]; newsMs: number },
  ): Promise<void> {
    let knownMs = Number.POSITIVE_INFINITY;
    const done = new Set<number>();
    for (let elapsed = 0; elapsed < ms; elapsed += 100) {
      const now = this.clock.monotonicMs();
      this.#writers.forEach((writer, index) =>
        writer.update(
          now >= knownMs || done.has(index) ? [] : [{
            key: "status",
            expect: [{ key: "status", revision: 5 }],
            value: values[index % values.length]!,
            era: 0,
            onWritten: () => done.add(index),
          }],
        )
      );
      await this.clock.advance(100);
      if (this.store.values.length > 0) {
        knownMs = Math.min(knownMs, now + newsMs);
      }
    }
  }
}

describe("RolloutStatusWriter", () => {
  it("lets the first in rank write for 95 nodes", async () => {
    const fleet = new Writers(Array.from({ length: 95 }, (_, rank) => rank));
    await fleet.run(5_000, { values: ["completed"], newsMs: 200 });
    expect(fleet.store.calls).to.equal(1);
  });

  it("lets the next ones write if the first is dead", async () => {
    const fleet = new Writers([1, 2, 3]);
    await fleet.run(2_000, { values: ["completed"], newsMs: 200 });
    expect(fleet.store.values).to.deep.equal(["completed"]);
  });

  it("comes to one value if two nodes decide at once", async () => {
    const fleet = new Writers([0, 0]);
    await fleet.run(5_000, {
      values: ["completed", "rolled_back"],
      newsMs: 1_000,
    });
    expect(fleet.store.values).to.deep.equal(["completed"]);
  });

  it("writes once though its answer is lost, and again after a failure", async () => {
    const fleet = new Writers([0]);
    fleet.store.failures = 3;
    fleet.store.lostAnswers = 1;
    await fleet.run(8_000, { values: ["rolled_back"], newsMs: 2_000 });
    expect(fleet.store.values).to.deep.equal(["rolled_back"]);
    expect(fleet.store.calls).to.be.within(4, 7);
  });
});
