import { ManualClock } from "@limpetshed/base";
import { expect } from "chai";
import { describe, it } from "mocha";
import { PrefixHolders } from "../src/prefix_holders.ts";

const HELD = { partId: "t1", endpoint: "e1" };

function make() {
  const clock = new ManualClock();
  return { clock, holders: new PrefixHolders({ clock }) };
}

describe("PrefixHolders when many requests share a text", () => {
  it("tells the other nodes once, not with each request", () => {
    const { holders } = make();
    for (let at = 0; at < 100; at += 1) {
      holders.sent(HELD);
    }
    expect(holders.takeNews()).to.deep.equal([HELD]);
    holders.sent(HELD);
    expect(holders.takeNews()).to.deep.equal([]);
  });

  it("does not tell what it was told", () => {
    const { holders } = make();
    holders.heard([HELD]);
    holders.sent(HELD);
    expect(holders.takeNews()).to.deep.equal([]);
  });

  it("tells again well before the others forget", async () => {
    const { clock, holders } = make();
    const other = new PrefixHolders({ clock });
    for (let at = 0; at < 120; at += 1) {
      holders.sent(HELD);
      other.heard(holders.takeNews());
      expect([...other.holders("t1")]).to.deep.equal(["e1"]);
      await clock.advance(1_000);
    }
  });

  it("tells of another endpoint, and again after a loss", () => {
    const { holders } = make();
    holders.sent(HELD);
    holders.sent({ ...HELD, endpoint: "e2" });
    expect(holders.takeNews()).to.have.length(2);
    holders.lost(HELD);
    holders.sent(HELD);
    expect(holders.takeNews()).to.deep.equal([HELD]);
  });
});
