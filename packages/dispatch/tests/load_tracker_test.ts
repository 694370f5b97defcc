import { ManualClock } from "@limpetshed/base";
import { expect } from "chai";
import { describe, it } from "mocha";
import { LoadTracker } from "../src/load_tracker.ts";

/** Counts how often its entries are gone through. */
class CountedMap extends Map<string, number> {
  passes = 0;

  override [Symbol.iterator]() {
    this.passes += 1;
    return super[Symbol.iterator]();
  }
}

describe("LoadTracker", () => {
  it("adds the counts of other nodes to the local ones", () => {
    const loads = new LoadTracker({ clock: new ManualClock() });
    loads.begin("e1");
    loads.setPeerCounts("n2", new Map([["e1", 2], ["e2", 1]]));
    loads.setPeerCounts("n3", new Map([["e1", 3]]));
    expect([loads.totalInFlight("e1"), loads.totalInFlight("e2")]).to.deep
      .equal([6, 1]);
    loads.setPeerCounts("n2", new Map());
    expect([loads.totalInFlight("e1"), loads.totalInFlight("e2")]).to.deep
      .equal([4, 0]);
  });

  it("passes over what is said of speeds unless it follows them", () => {
    const report = { running: 1, waiting: 1, slots: 8, slowness: 3 };
    const clock = new ManualClock();
    const loads = new LoadTracker({ clock, followsSpeeds: false });
    loads.recordReport("e1", report);
    loads.speeds.applyPeerReports([{ endpoint: "e2", slowness: 3, ageMs: 0 }]);
    expect([loads.totalInFlight("e1"), loads.speeds.isEmpty]).to.deep
      .equal([2, true]);
    expect(loads.speeds.takeReports()()).to.deep.equal([]);
  });

  it("uses an endpoint's report if it exceeds the nodes' counts", async () => {
    const clock = new ManualClock();
    const loads = new LoadTracker({ clock });
    loads.begin("e1");
    loads.recordReportedInFlight("e1", 8);
    expect(loads.totalInFlight("e1")).to.equal(8);
    loads.end("e1");
    expect(loads.totalInFlight("e1")).to.equal(7);
    await clock.advance(2_000);
    expect(loads.totalInFlight("e1")).to.equal(0);
  });

  it("expires the counts of nodes that stop sending them", async () => {
    const clock = new ManualClock();
    const loads = new LoadTracker({ clock });
    loads.setPeerCounts("n2", new Map([["e1", 2]]));
    await clock.advance(2_000);
    loads.expirePeers(1_500);
    expect(loads.totalInFlight("e1")).to.equal(0);
  });

  it("goes through one node's counts for a message, whatever the fleet", () => {
    const loads = new LoadTracker({ clock: new ManualClock() });
    const others = Array.from(
      { length: 407 },
      () => new CountedMap([["e1", 1]]),
    );
    others.forEach((counts, index) => loads.setPeerCounts(`n${index}`, counts));
    loads.totalInFlight("e1");
    others.forEach((counts) => counts.passes = 0);
    loads.setPeerCounts("n0", new Map([["e1", 3], ["e2", 1]]));
    expect(loads.totalInFlight("e1")).to.equal(409);
    expect(others.filter(({ passes }) => passes > 0)).to.have.length(1);
  });

  it("never counts below zero", () => {
    const loads = new LoadTracker({ clock: new ManualClock() });
    loads.end("e1");
    loads.begin("e1");
    expect(loads.localInFlight("e1")).to.equal(1);
    expect([...loads.localCounts()]).to.deep.equal([["e1", 1]]);
  });
});
