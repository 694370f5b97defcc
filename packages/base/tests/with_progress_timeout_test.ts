import { expect } from "chai";
import { describe, it } from "mocha";
import { deferred } from "../src/deferred.ts";
import { ManualClock } from "../src/manual_clock.ts";
import { withProgressTimeout } from "../src/with_progress_timeout.ts";

function start() {
  const clock = new ManualClock();
  const work = deferred<string>();
  let report = () => {};
  let outcome = "pending";
  withProgressTimeout(clock, (onProgress) => {
    report = onProgress;
    return work.promise;
  }, { idleMs: 100, totalMs: 1_000, onTimeout: () => new Error("timeout") })
    .then((value) => outcome = value, (err: Error) => outcome = err.message);
  return { clock, work, report: () => report(), outcome: () => outcome };
}

describe("withProgressTimeout", () => {
  it("waits longer than the idle time while there is progress", async () => {
    const { clock, work, report, outcome } = start();
    for (let step = 0; step < 8; step += 1) {
      await clock.advance(90);
      report();
    }
    work.resolve("done");
    await clock.advance(0);
    expect(outcome()).to.equal("done");
  });

  it("rejects after the idle time without progress", async () => {
    const { clock, report, outcome } = start();
    await clock.advance(90);
    report();
    await clock.advance(99);
    expect(outcome()).to.equal("pending");
    await clock.advance(1);
    expect(outcome()).to.equal("timeout");
  });

  it("rejects after the total time despite progress", async () => {
    const { clock, report, outcome } = start();
    for (let step = 0; step < 20; step += 1) {
      await clock.advance(50);
      report();
    }
    expect(outcome()).to.equal("timeout");
  });
});
