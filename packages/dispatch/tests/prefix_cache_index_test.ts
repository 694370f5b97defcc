import { ManualClock } from "@limpetshed/base";
import { expect } from "chai";
import { describe, it } from "mocha";
import { PrefixCacheIndex } from "../src/prefix_cache_index.ts";

const CACHED = { partId: "t1", endpoint: "e1" };

function setUp() {
  const clock = new ManualClock();
  return { clock, cacheIndex: new PrefixCacheIndex({ clock }) };
}

describe("PrefixCacheIndex when many requests share a text", () => {
  it("sends an entry to the other nodes once, not with each request", () => {
    const { cacheIndex } = setUp();
    for (let index = 0; index < 100; index += 1) {
      cacheIndex.recordCached(CACHED);
    }
    expect(cacheIndex.takeUpdates()).to.deep.equal([CACHED]);
    cacheIndex.recordCached(CACHED);
    expect(cacheIndex.takeUpdates()).to.deep.equal([]);
  });

  it("does not send back entries received from other nodes", () => {
    const { cacheIndex } = setUp();
    cacheIndex.applyPeerUpdates([CACHED]);
    cacheIndex.recordCached(CACHED);
    expect(cacheIndex.takeUpdates()).to.deep.equal([]);
  });

  it("sends an entry in use again before it expires elsewhere", async () => {
    const { clock, cacheIndex } = setUp();
    const other = new PrefixCacheIndex({ clock });
    for (let index = 0; index < 120; index += 1) {
      cacheIndex.recordCached(CACHED);
      other.applyPeerUpdates(cacheIndex.takeUpdates());
      expect([...other.endpointsCaching("t1")]).to.deep.equal(["e1"]);
      await clock.advance(1_000);
    }
  });

  it("sends an entry for each endpoint, and again after its removal", () => {
    const { cacheIndex } = setUp();
    cacheIndex.recordCached(CACHED);
    cacheIndex.recordCached({ ...CACHED, endpoint: "e2" });
    expect(cacheIndex.takeUpdates()).to.have.length(2);
    cacheIndex.recordNotCached(CACHED);
    cacheIndex.recordCached(CACHED);
    expect(cacheIndex.takeUpdates()).to.deep.equal([CACHED]);
  });
});
