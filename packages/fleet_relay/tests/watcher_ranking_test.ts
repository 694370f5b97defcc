import { initHashing, rendezvousRank } from "@limpetshed/hashing";
import { expect } from "chai";
import { before, describe, it } from "mocha";
import { WatcherRanking } from "../src/watcher_ranking.ts";

const LARGE_FLEET = Array.from({ length: 408 }, (_, index) => `node-${index}`);

describe("WatcherRanking", () => {
  before(() => initHashing());

  it("orders any nodes as ranking these alone would", () => {
    const ranking = new WatcherRanking({ nodeIds: () => LARGE_FLEET });
    const some = LARGE_FLEET.filter((_, index) => index % 7 === 0);
    expect(ranking.rank(some)).to.deep.equal(rendezvousRank("watch", some));
  });

  it("ranks a fleet once until its nodes change", () => {
    let ids: readonly string[] = LARGE_FLEET;
    const ranking = new WatcherRanking({ nodeIds: () => ids });
    const before = ranking.all;
    ranking.rank(LARGE_FLEET);
    expect(ranking.all).to.equal(before);
    ids = [...LARGE_FLEET, "another"];
    expect(ranking.all).to.include("another").and.have.length(409);
  });
});
