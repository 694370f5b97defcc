import { ManualClock } from "@limpetshed/base";
import { makeLogger } from "@limpetshed/observe";
import { expect } from "chai";
import { afterEach, describe, it } from "mocha";
import {
  NodeRegistration,
  type RegistrationStore,
} from "../src/node_registration.ts";

/** A store that is away, or forgets leases, when told to. */
class TestStore implements RegistrationStore {
  isAway = false;
  lease = 0;
  entries: number[] = [];

  grantLease(): Promise<number> {
    if (this.isAway) {
      return Promise.reject(new Error("away"));
    }
    this.lease += 1;
    return Promise.resolve(this.lease);
  }

  keepLease(lease: number): Promise<boolean> {
    return this.isAway
      ? Promise.reject(new Error("away"))
      : Promise.resolve(lease === this.lease);
  }

  put(_key: string, { lease }: { lease: number }): Promise<boolean> {
    this.entries.push(lease);
    return Promise.resolve(true);
  }
}

describe("NodeRegistration", () => {
  let registration: NodeRegistration | undefined;

  afterEach(() => registration?.close());

  function begin(store: TestStore) {
    const clock = new ManualClock();
    const lines: string[] = [];
    const logger = makeLogger({
      destination: { write: (line: string) => void lines.push(line) },
    });
    registration = new NodeRegistration({
      clock,
      logger,
      store,
      key: "nodes/n1",
      value: "{}",
    });
    const outcomes = () =>
      lines.map((line) => (JSON.parse(line) as { outcome: string }).outcome);
    return { clock, outcomes };
  }

  it("says once that the store is away, and enters when it is back", async () => {
    const store = new TestStore();
    store.isAway = true;
    const { clock, outcomes } = begin(store);
    await clock.advance(5_000);
    expect(outcomes()).to.deep.equal(["failed"]);
    store.isAway = false;
    await clock.advance(1_000);
    expect(outcomes()).to.deep.equal(["failed", "entered"]);
    expect(store.entries).to.deep.equal([1]);
  });

  it("enters again when its lease has ended", async () => {
    const store = new TestStore();
    const { clock } = begin(store);
    await clock.advance(1_000);
    store.lease += 1;
    await clock.advance(11_000);
    expect(store.entries).to.deep.equal([1, 3]);
  });
});
