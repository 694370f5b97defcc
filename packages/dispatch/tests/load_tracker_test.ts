import { ManualClock } from "@limpetshed/base";
import { expect } from "chai";
import { describe, it } from "mocha";
import { LoadTracker } from "../src/load_tracker.ts";

describe("LoadBoard", () => {
  it("adds what other nodes tell to this node's own", () => {
    const board = new LoadTracker({ clock: new ManualClock() });
    board.begin("e1");
    board.setPeerCounts("n2", new Map([["e1", 2], ["e2", 1]]));
    board.setPeerCounts("n3", new Map([["e1", 3]]));
    expect([board.totalInFlight("e1"), board.totalInFlight("e2")]).to.deep
      .equal([6, 1]);
    board.setPeerCounts("n2", new Map());
    expect([board.totalInFlight("e1"), board.totalInFlight("e2")]).to.deep
      .equal([4, 0]);
  });

  it("believes an endpoint that has more than the nodes tell", async () => {
    const clock = new ManualClock();
    const board = new LoadTracker({ clock });
    board.begin("e1");
    board.reportInFlight("e1", 8);
    expect(board.totalInFlight("e1")).to.equal(8);
    board.end("e1");
    expect(board.totalInFlight("e1")).to.equal(7);
    await clock.advance(2_000);
    expect(board.totalInFlight("e1")).to.equal(0);
  });

  it("forgets nodes that fell silent", async () => {
    const clock = new ManualClock();
    const board = new LoadTracker({ clock });
    board.setPeerCounts("n2", new Map([["e1", 2]]));
    await clock.advance(2_000);
    board.expirePeers(1_500);
    expect(board.totalInFlight("e1")).to.equal(0);
  });

  it("never counts below zero", () => {
    const board = new LoadTracker({ clock: new ManualClock() });
    board.end("e1");
    board.begin("e1");
    expect(board.localInFlight("e1")).to.equal(1);
    expect([...board.localCounts()]).to.deep.equal([["e1", 1]]);
  });
});
