import { expect } from "chai";
import { describe, it } from "mocha";
import {
  chooseWatchers,
  type DutyCandidate,
  type StorePath,
} from "../src/watch_duty.ts";

const byName = (ids: readonly string[]) => [...ids].sort();

function fleet(
  count: number,
  zones: string,
  path: (at: number) => StorePath = () => "unknown",
): DutyCandidate[] {
  return Array.from({ length: count }, (_, at) => ({
    id: `n${String(at).padStart(3, "0")}`,
    availabilityZone: zones[at % zones.length]!,
    storePath: path(at),
  }));
}

describe("chooseWatchers", () => {
  it("takes one node of each zone, however large the fleet", () => {
    for (const count of [6, 34, 410]) {
      expect(chooseWatchers(fleet(count, "abc"), byName)).to.have.length(3);
    }
  });

  it("takes two where there is one zone", () => {
    expect(chooseWatchers(fleet(5, "a"), byName)).to.have.length(2);
    expect(chooseWatchers(fleet(1, "a"), byName)).to.have.length(1);
  });

  it("passes over nodes that the store refuses", () => {
    const nodes = fleet(6, "ab", (at) => (at < 2 ? "lost" : "unknown"));
    expect(chooseWatchers(nodes, byName)).to.deep.equal(["n002", "n003"]);
  });

  it("keeps a few trying while the store is away for all", () => {
    const nodes = fleet(34, "abc", () => "lost");
    expect(chooseWatchers(nodes, byName)).to.have.length(3);
  });
});
