import { expect } from "chai";
import fc from "fast-check";
import { describe, it } from "mocha";
import { initHashing } from "../src/hash64.ts";
import { rendezvousFirst, rendezvousRank } from "../src/rendezvous.ts";
import { Rng } from "../src/rng.ts";

describe("rendezvous hashing and Rng", () => {
  before(initHashing);

  it("reassigns only the keys of the removed id", () => {
    const ids = fc.uniqueArray(fc.string(), { minLength: 2, maxLength: 12 });
    fc.assert(
      fc.property(ids, fc.string(), (all, key) => {
        const ranked = rendezvousRank(key, all);
        const [first, second] = ranked;
        expect(rendezvousFirst(key, all)).to.equal(first);
        const without = all.filter((id) => id !== first);
        expect(rendezvousFirst(key, without)).to.equal(second);
        const others = all.filter((id) => id !== second);
        expect(rendezvousFirst(key, others)).to.equal(first);
      }),
      { seed: 4, numRuns: 300 },
    );
  });

  it("distributes keys evenly", () => {
    const ids = ["a", "b", "c", "d"];
    const counts = new Map<string, number>();
    for (let key = 0; key < 4_000; key += 1) {
      const first = rendezvousFirst(`k${key}`, ids)!;
      counts.set(first, (counts.get(first) ?? 0) + 1);
    }
    for (const count of counts.values()) {
      expect(count).to.be.within(850, 1_150);
    }
  });

  it("generates the same sequence for the same seed", () => {
    const first = new Rng(9);
    const second = new Rng(9);
    const draw = (rng: Rng) => Array.from({ length: 20 }, () => rng.int(1_000));
    expect(draw(first)).to.deep.equal(draw(second));
  });
});
