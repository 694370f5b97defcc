import { expect } from "chai";
import { describe, it } from "mocha";
import { ManualClock } from "../src/manual_clock.ts";
import { repeat } from "../src/repeat.ts";
import { sharedWakeUpMs } from "../src/shared_wake_up.ts";

describe("shared wake-ups", () => {
  it("wake tasks that began at different times at the same moments", async () => {
    const clock = new ManualClock();
    const runsMs: number[] = [];
    const loops = [];
    for (const intervalMs of [100, 200, 500, 100]) {
      await clock.advance(17);
      loops.push(
        repeat(clock, () => {
          runsMs.push(clock.monotonicMs());
        }, { intervalMs, onError: () => undefined }),
      );
    }
    runsMs.length = 0;
    await clock.advance(1_000);
    expect(new Set(runsMs).size).to.equal(10);
    await Promise.all(loops.map((loop) => loop.close()));
  });

  it("keep the mean interval of a task whose timers fire early or late", async () => {
    const clock = new ManualClock();
    await clock.advance(99.4);
    expect(sharedWakeUpMs(clock, 100)).to.be.closeTo(100.6, 0.01);
    await clock.advance(1.6);
    expect(sharedWakeUpMs(clock, 100)).to.be.closeTo(99, 0.01);
  });

  it("leave short delays as they are", () => {
    expect(sharedWakeUpMs(new ManualClock(), 30)).to.equal(30);
  });
});
