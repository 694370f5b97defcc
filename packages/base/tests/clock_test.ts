import { expect } from "chai";
import { describe, it } from "mocha";
import { ManualClock } from "../src/manual_clock.ts";
import { PausableClock } from "../src/pausable_clock.ts";
import { repeat } from "../src/repeat.ts";
import { sleep } from "../src/sleep.ts";

describe("clocks", () => {
  it("runs timers in the order of their times", async () => {
    const clock = new ManualClock();
    const seen: string[] = [];
    clock.setTimer(20, () => seen.push("late"));
    clock.setTimer(10, () => seen.push("early"));
    clock.setTimer(15, () => seen.push("cancelled")).cancel();
    await clock.advance(30);
    expect(seen).to.deep.equal(["early", "late"]);
    expect(clock.monotonicMs()).to.equal(30);
  });

  it("holds timers back while paused, and time goes on", async () => {
    const clock = new ManualClock();
    const pausable = new PausableClock({ clock });
    let ran = 0;
    pausable.setTimer(10, () => ran += 1);
    pausable.pause();
    await clock.advance(50);
    expect(ran).to.equal(0);
    expect(pausable.monotonicMs()).to.equal(50);
    pausable.resume();
    expect(ran).to.equal(1);
  });

  it("ends a sleep when its signal aborts", async () => {
    const clock = new ManualClock();
    const stop = new AbortController();
    const sleeping = sleep(clock, 1_000, { signal: stop.signal });
    stop.abort();
    await sleeping;
    expect(clock.monotonicMs()).to.equal(0);
  });

  it("goes on repeating after an error, until closed", async () => {
    const clock = new ManualClock();
    let rounds = 0;
    const errors: unknown[] = [];
    const loop = repeat(clock, () => {
      rounds += 1;
      throw new Error("round");
    }, { everyMs: 10, onError: (err) => errors.push(err) });
    await clock.advance(35);
    expect(rounds).to.equal(4);
    expect(errors).to.have.length(4);
    await loop.close();
    await clock.advance(50);
    expect(rounds).to.equal(4);
  });
});
