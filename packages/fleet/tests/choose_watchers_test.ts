import { expect } from "chai";
import { describe, it } from "mocha";
import {
  chooseWatchers,
  type StoreConnectivity,
  type WatcherCandidate,
} from "../src/choose_watchers.ts";

const sortIds = (ids: readonly string[]) => [...ids].sort();

function makeCandidates(
  count: number,
  zones: string,
  connectivity: (index: number) => StoreConnectivity = () => "unknown",
): WatcherCandidate[] {
  return Array.from({ length: count }, (_, index) => ({
    id: `n${String(index).padStart(3, "0")}`,
    availabilityZone: zones[index % zones.length]!,
    storeConnectivity: connectivity(index),
  }));
}

describe("chooseWatchers", () => {
  it("chooses one node of each zone for any fleet size", () => {
    for (const count of [6, 34, 410]) {
      expect(chooseWatchers(makeCandidates(count, "abc"), sortIds)).to.have
        .length(3);
    }
  });

  it("chooses two nodes if there is only one zone", () => {
    expect(chooseWatchers(makeCandidates(5, "a"), sortIds)).to.have.length(2);
    expect(chooseWatchers(makeCandidates(1, "a"), sortIds)).to.have.length(1);
  });

  it("skips nodes that lost the store", () => {
    const nodes = makeCandidates(
      6,
      "ab",
      (index) => (index < 2 ? "lost" : "unknown"),
    );
    expect(chooseWatchers(nodes, sortIds)).to.deep.equal(["n002", "n003"]);
  });

  it("still chooses watchers if all nodes lost the store", () => {
    const nodes = makeCandidates(34, "abc", () => "lost");
    expect(chooseWatchers(nodes, sortIds)).to.have.length(3);
  });
});
