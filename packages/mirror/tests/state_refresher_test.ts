import { ManualClock } from "@limpetshed/base";
import { makeLogger } from "@limpetshed/observe";
import { expect } from "chai";
import { describe, it } from "mocha";
import type {
  ChangeBatch,
  ChangeReader,
  ReadChangesOptions,
} from "../src/change_source.ts";
import type { KeyClass } from "../src/key_class.ts";
import { KeyMirror } from "../src/key_mirror.ts";
import { makePropagationBudget } from "../src/propagation_budget.ts";
import { StateRefresher } from "../src/state_refresher.ts";

const BOUND_MS = 2_000;
const BUDGET = makePropagationBudget(BOUND_MS);
const ENDPOINTS: KeyClass = { name: "endpoints", prefixes: ["e/"] };
const CONFIG: KeyClass = { name: "config", prefixes: ["c"], isBulky: true };

/** A call that waits for the test to answer it. */
interface PendingCall extends ReadChangesOptions {
  startMs: number;
  answer: () => void;
  fail: () => void;
}

/** A mirror that was confirmed at 0, with calls that the test answers. */
function setUp({ respond = "never" }: { respond?: "never" | "refuse" } = {}) {
  const clock = new ManualClock();
  const mirror = new KeyMirror({ classes: [ENDPOINTS, CONFIG] });
  const calls: PendingCall[] = [];
  const events: string[] = [];
  const peers = { reachStore: true };
  const reader: ChangeReader = {
    read: (options) =>
      new Promise<ChangeBatch>((resolve, reject) => {
        const fail = () => reject(new Error("refused"));
        calls.push({
          ...options,
          startMs: clock.monotonicMs(),
          answer: () =>
            resolve({
              kind: "changes",
              keyClass: options.keyClass?.name,
              changes: [],
              asOf: options.after.revision,
            }),
          fail,
        });
        if (respond === "refuse") {
          fail();
        }
      }),
  };
  mirror.apply({ kind: "snapshot", entries: [], asOf: 1 }, {
    receivedMs: 0,
    confirmedMs: 0,
  });
  const refresher = new StateRefresher({
    clock,
    logger: makeLogger({
      destination: {
        write: (line) => {
          const { event } = JSON.parse(line) as { event: string };
          events.push(event);
        },
      },
    }),
    mirror,
    reader,
    budget: BUDGET,
    isStoreReachedByPeers: () => peers.reachStore,
    describeSources: () => ({}),
  });
  const labels = () =>
    calls.map(({ keyClass, startMs }) =>
      `${keyClass?.name ?? "all"}@${startMs}`
    );
  return { clock, mirror, calls, labels, events, peers, refresher };
}

describe("StateRefresher", () => {
  it("divides the bound so that three calls fit into it", () => {
    const { totalMs, watchWaitMs, maxStateAgeMs, callMs } =
      makePropagationBudget(3_000);
    expect(totalMs).to.equal(3_000);
    expect(maxStateAgeMs).to.be.above(watchWaitMs);
    // The rest is for applying a change and for requests on their way.
    expect(maxStateAgeMs + 3 * callMs).to.be.at.most(0.8 * totalMs);
  });

  // Nodes whose peers did not pass on changes in time kept sending requests to
  // endpoints that had said that they leave.
  it("reads all keys once the state is not confirmed in time", async () => {
    const { clock, calls, labels } = setUp();
    await clock.advance(BUDGET.maxStateAgeMs);
    expect(labels()).to.deep.equal([]);
    await clock.advance(2);
    expect(labels()).to.deep.equal(["all@801"]);
    calls[0]!.answer();
    await clock.advance(BUDGET.callMs);
    expect(labels()).to.deep.equal(["all@801"]);
  });

  it("does not read a state that others confirm", async () => {
    const { clock, mirror, labels } = setUp();
    for (let index = 0; index < 10; index += 1) {
      await clock.advance(700);
      const now = clock.monotonicMs();
      mirror.apply({ kind: "changes", changes: [], asOf: 1 }, {
        receivedMs: now,
        confirmedMs: now - 50,
      });
    }
    expect(labels()).to.deep.equal([]);
  });

  // A node without current peers waited for one call to the store, and did not
  // call it again for 5 s once it had failed.
  it("reads by class beside a call that is not answered", async () => {
    const { clock, mirror, calls, labels } = setUp();
    await clock.advance(801 + 2 * BUDGET.callMs);
    expect(labels()).to.deep.equal([
      "all@801",
      "endpoints@1051",
      "config@1051",
      "endpoints@1301",
      "config@1301",
    ]);
    calls[3]!.answer();
    calls[4]!.answer();
    await clock.advance(1);
    expect(clock.monotonicMs() - mirror.confirmedMs).to.be.below(10);
    await clock.advance(50);
    expect(calls.every(({ signal }) => signal.aborted)).to.equal(true);
  });

  it("accepts a late answer to its first call", async () => {
    const { clock, mirror, calls, events } = setUp();
    await clock.advance(801 + BUDGET.callMs);
    calls[0]!.answer();
    await clock.advance(60);
    expect(mirror.confirmedMs).to.be.above(1_000);
    expect(events).to.deep.equal(["state_refresh"]);
  });

  it("reads again after calls that are refused at once", async () => {
    const { clock, calls } = setUp({ respond: "refuse" });
    await clock.advance(BOUND_MS);
    const startTimes = new Set(calls.map(({ startMs }) => startMs));
    expect(startTimes.size).to.be.above(3);
  });

  it("does not request what a call already transfers", async () => {
    const { clock, mirror, calls, labels } = setUp();
    await clock.advance(801);
    for (let index = 0; index < 8; index += 1) {
      await clock.advance(100);
      calls[0]!.onProgress();
    }
    expect(labels()).to.deep.equal([
      "all@801",
      "endpoints@1051",
      "endpoints@1301",
    ]);
    calls[1]!.answer();
    await clock.advance(1);
    expect(mirror.classConfirmedMs(ENDPOINTS)).to.be.above(1_600);
    expect(mirror.classConfirmedMs(CONFIG)).to.equal(0);
    expect(calls[0]!.signal.aborted).to.equal(false);
    calls[0]!.answer();
    await clock.advance(60);
    expect(mirror.classConfirmedMs(CONFIG)).to.be.above(1_600);
  });

  it("leaves an outage of the store to the watchers", async () => {
    const { clock, calls, events, peers } = setUp({ respond: "refuse" });
    peers.reachStore = false;
    await clock.advance(2_000);
    const callCount = calls.length;
    await clock.advance(3_000);
    expect(calls.length).to.equal(callCount);
    expect(events).to.deep.equal(["state_refresh"]);
    peers.reachStore = true;
    await clock.advance(200);
    expect(calls.length).to.be.above(callCount);
  });

  it("tries again after the outage pause, also if no peer reaches the store", async () => {
    const { clock, calls, peers } = setUp({ respond: "refuse" });
    peers.reachStore = false;
    await clock.advance(2_000);
    const callCount = calls.length;
    await clock.advance(4_000);
    expect(calls.length).to.equal(callCount);
    await clock.advance(2_000);
    expect(calls.length).to.be.above(callCount);
  });

  it("ends its calls when it is closed", async () => {
    const { clock, calls, refresher } = setUp();
    await clock.advance(1_000);
    const closing = refresher.close();
    await clock.advance(100);
    await closing;
    expect(calls.every(({ signal }) => signal.aborted)).to.equal(true);
  });
});
