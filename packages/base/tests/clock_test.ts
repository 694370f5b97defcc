import { expect } from "chai";
import { describe, it } from "mocha";
import { ManualClock } from "../src/manual_clock.ts";
import { PausableClock } from "../src/pausable_clock.ts";
import { repeat } from "../src/repeat.ts";
import { sleep } from "../src/sleep.ts";

describe("clocks, sleep and repeat", () => {
  it("runs timers in order of due time", async () => {
    const clock = new ManualClock();
    const calls: string[] = [];
    clock.setTimer(20, () => calls.push("late"));
    clock.setTimer(10, () => calls.push("early"));
    clock.setTimer(15, () => calls.push("cancelled")).cancel();
    await clock.advance(30);
    expect(calls).to.deep.equal(["early", "late"]);
    expect(clock.monotonicMs()).to.equal(30);
  });

  it("defers timers while paused although time continues", async () => {
    const clock = new ManualClock();
    const pausable = new PausableClock({ clock });
    let callCount = 0;
    pausable.setTimer(10, () => callCount += 1);
    pausable.pause();
    await clock.advance(50);
    expect(callCount).to.equal(0);
    expect(pausable.monotonicMs()).to.equal(50);
    pausable.resume();
    expect(callCount).to.equal(1);
  });

  it("resolves a sleep when its signal is aborted", async () => {
    const clock = new ManualClock();
    const controller = new AbortController();
    const sleeping = sleep(clock, 1_000, { signal: controller.signal });
    controller.abort();
    await sleeping;
    expect(clock.monotonicMs()).to.equal(0);
  });

  it("keeps repeating after an error until closed", async () => {
    const clock = new ManualClock();
    let runCount = 0;
    const errors: unknown[] = [];
    const loop = repeat(clock, () => {
      runCount += 1;
      throw new Error("run failed");
    }, { intervalMs: 10, onError: (err) => errors.push(err) });
    await clock.advance(35);
    expect(runCount).to.equal(4);
    expect(errors).to.have.length(4);
    await loop.close();
    await clock.advance(50);
    expect(runCount).to.equal(4);
  });
});
