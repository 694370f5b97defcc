import { expect } from "chai";
import { describe, it } from "mocha";
import {
  chooseWatchers,
  type StoreConnectivity,
  type WatcherCandidate,
} from "../src/choose_watchers.ts";

const byName = (ids: readonly string[]) => [...ids].sort();

function fleet(
  count: number,
  zones: string,
  connectivity: (at: number) => StoreConnectivity = () => "unknown",
): WatcherCandidate[] {
  return Array.from({ length: count }, (_, at) => ({
    id: `n${String(at).padStart(3, "0")}`,
    availabilityZone: zones[at % zones.length]!,
    storeConnectivity: connectivity(at),
  }));
}

describe("chooseWatchers", () => {
  it("chooses one node of each zone for any fleet size", () => {
    for (const count of [6, 34, 410]) {
      expect(chooseWatchers(fleet(count, "abc"), byName)).to.have.length(3);
    }
  });

  it("chooses two nodes if there is only one zone", () => {
    expect(chooseWatchers(fleet(5, "a"), byName)).to.have.length(2);
    expect(chooseWatchers(fleet(1, "a"), byName)).to.have.length(1);
  });

  it("skips nodes that lost the store", () => {
    const nodes = fleet(6, "ab", (at) => (at < 2 ? "lost" : "unknown"));
    expect(chooseWatchers(nodes, byName)).to.deep.equal(["n002", "n003"]);
  });

  it("still chooses watchers if all nodes lost the store", () => {
    const nodes = fleet(34, "abc", () => "lost");
    expect(chooseWatchers(nodes, byName)).to.have.length(3);
  });
});
