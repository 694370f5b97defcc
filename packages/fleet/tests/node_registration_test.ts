import { ManualClock } from "@limpetshed/base";
import { makeLogger } from "@limpetshed/observe";
import { expect } from "chai";
import { afterEach, describe, it } from "mocha";
import {
  type Lease,
  NodeRegistration,
  type RegistrationStore,
} from "../src/node_registration.ts";

/** A store that can be unreachable. Only the last lease is valid; increasing
 * `lastLeaseId` expires it. */
class FakeStore implements RegistrationStore {
  isDown = false;
  era = 0;
  /** Id of the last granted lease. */
  lastLeaseId = 0;
  /** Lease id of each write, in order. */
  writeLeaseIds: number[] = [];

  grantLease(): Promise<Lease> {
    if (this.isDown) {
      return Promise.reject(new Error("store unreachable"));
    }
    this.lastLeaseId += 1;
    return Promise.resolve({ id: this.lastLeaseId, era: this.era });
  }

  renewLease({ id }: Lease): Promise<boolean> {
    return this.isDown
      ? Promise.reject(new Error("store unreachable"))
      : Promise.resolve(id === this.lastLeaseId);
  }

  put(_key: string, { lease }: { lease: Lease }): Promise<boolean> {
    this.writeLeaseIds.push(lease.id);
    return Promise.resolve(true);
  }
}

describe("NodeRegistration", () => {
  let registration: NodeRegistration | undefined;

  afterEach(() => registration?.close());

  function startRegistration(store: FakeStore) {
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
      era: () => store.era,
      random: () => 0.5,
    });
    const outcomes = () =>
      lines.map((line) => (JSON.parse(line) as { outcome: string }).outcome);
    return { clock, outcomes };
  }

  it("logs an outage once and registers when the store is back", async () => {
    const store = new FakeStore();
    store.isDown = true;
    const { clock, outcomes } = startRegistration(store);
    await clock.advance(5_000);
    expect(outcomes()).to.deep.equal(["failed"]);
    store.isDown = false;
    await clock.advance(1_000);
    expect(outcomes()).to.deep.equal(["failed", "entered"]);
    expect(store.writeLeaseIds).to.deep.equal([1]);
  });

  it("registers again after its lease has expired", async () => {
    const store = new FakeStore();
    const { clock } = startRegistration(store);
    await clock.advance(1_000);
    store.lastLeaseId += 1;
    await clock.advance(11_000);
    expect(store.writeLeaseIds).to.deep.equal([1, 3]);
  });

  it("registers with a new lease when a later era begins", async () => {
    const store = new FakeStore();
    const { clock, outcomes } = startRegistration(store);
    await clock.advance(1_000);
    store.era = 1;
    await clock.advance(2_000);
    expect(store.writeLeaseIds).to.deep.equal([1, 2]);
    expect(outcomes()).to.deep.equal(["entered", "entered"]);
  });
});
