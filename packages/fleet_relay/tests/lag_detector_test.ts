import { ManualClock } from "@limpetshed/base";
import type { StorePosition } from "@limpetshed/mirror";
import { expect } from "chai";
import { describe, it } from "mocha";
import { LagDetector } from "../src/lag_detector.ts";

const MAX_LAG_MS = 500;
const STEP_MS = 100;

function setUp() {
  const clock = new ManualClock();
  return { clock, detector: new LagDetector({ clock, maxLagMs: MAX_LAG_MS }) };
}

function at(revision: number): StorePosition {
  return { era: 0, revision };
}

describe("LagDetector", () => {
  it("does not take a node that is always a little behind as lagging", async () => {
    const { clock, detector } = setUp();
    const verdicts: boolean[] = [];
    for (let revision = 1; revision <= 40; revision += 1) {
      verdicts.push(detector.isLagging({
        own: at(revision),
        newest: at(revision + 3),
      }));
      await clock.advance(STEP_MS);
    }
    expect(verdicts).to.not.include(true);
  });

  it("takes a node as lagging that stands still while others go on", async () => {
    const { clock, detector } = setUp();
    for (let newest = 6; newest <= 10; newest += 1) {
      expect(detector.isLagging({ own: at(5), newest: at(newest) })).to.equal(
        false,
      );
      await clock.advance(STEP_MS);
    }
    expect(detector.isLagging({ own: at(5), newest: at(11) })).to.equal(
      true,
    );
  });

  it("ends the lag of a node that has caught up", async () => {
    const { clock, detector } = setUp();
    detector.isLagging({ own: at(5), newest: at(9) });
    await clock.advance(2 * MAX_LAG_MS);
    expect(detector.isLagging({ own: at(9), newest: at(9) })).to.equal(
      false,
    );
    expect(detector.isLagging({ own: at(9), newest: at(10) })).to.equal(
      false,
    );
  });
});
