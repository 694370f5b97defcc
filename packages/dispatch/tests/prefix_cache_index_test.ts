import { ManualClock } from "@limpetshed/base";
import { expect } from "chai";
import { describe, it } from "mocha";
import { PrefixCacheIndex } from "../src/prefix_cache_index.ts";

const HELD = { partId: "t1", endpoint: "e1" };

function make() {
  const clock = new ManualClock();
  return { clock, holders: new PrefixCacheIndex({ clock }) };
}

describe("PrefixHolders when many requests share a text", () => {
  it("tells the other nodes once, not with each request", () => {
    const { holders } = make();
    for (let at = 0; at < 100; at += 1) {
      holders.sent(HELD);
    }
    expect(holders.takeUpdates()).to.deep.equal([HELD]);
    holders.sent(HELD);
    expect(holders.takeUpdates()).to.deep.equal([]);
  });

  it("does not tell what it was told", () => {
    const { holders } = make();
    holders.applyPeerUpdates([HELD]);
    holders.sent(HELD);
    expect(holders.takeUpdates()).to.deep.equal([]);
  });

  it("tells again well before the others forget", async () => {
    const { clock, holders } = make();
    const other = new PrefixCacheIndex({ clock });
    for (let at = 0; at < 120; at += 1) {
      holders.sent(HELD);
      other.applyPeerUpdates(holders.takeUpdates());
      expect([...other.endpointsHolding("t1")]).to.deep.equal(["e1"]);
      await clock.advance(1_000);
    }
  });

  it("tells of another endpoint, and again after a loss", () => {
    const { holders } = make();
    holders.sent(HELD);
    holders.sent({ ...HELD, endpoint: "e2" });
    expect(holders.takeUpdates()).to.have.length(2);
    holders.lost(HELD);
    holders.sent(HELD);
    expect(holders.takeUpdates()).to.deep.equal([HELD]);
  });
});
