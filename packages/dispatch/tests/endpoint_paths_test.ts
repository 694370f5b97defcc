import { ManualClock } from "@limpetshed/base";
import { expect } from "chai";
import { beforeEach, describe, it } from "mocha";
import { EndpointPaths, type PathChange } from "../src/endpoint_paths.ts";

const PROBE_MS = 500;

// A node without links to the endpoints spent its clients' time on each of them.
describe("EndpointPaths", () => {
  let clock: ManualClock;
  let changes: PathChange[];
  let paths: EndpointPaths;

  beforeEach(() => {
    clock = new ManualClock();
    changes = [];
    paths = new EndpointPaths({
      clock,
      onChange: (change) => changes.push(change),
    });
  });

  /** Runs the probes that are due until `endMs` have passed; returns when each was
   * made, by address. */
  async function probe(
    ms: number,
    isConnected: (address: string) => boolean,
  ): Promise<Map<string, number[]>> {
    const made = new Map<string, number[]>();
    for (let passedMs = 0; passedMs < ms; passedMs += 250) {
      await clock.advance(250);
      for (const address of paths.takeProbes()) {
        made.set(address, [
          ...made.get(address) ?? [],
          clock.monotonicMs(),
        ]);
        paths.recordProbe(address, isConnected(address));
      }
    }
    return made;
  }

  it("are direct while only this node's own attempts are known", () => {
    paths.recordDirect("a:1");
    expect(paths.stateOf("a:1")).to.equal("direct");
    expect(paths.stateOf("b:1")).to.equal("direct");
    expect(changes).to.deep.equal([]);
  });

  it("change one by one while most endpoints can be reached", () => {
    ["a:1", "b:1", "c:1"].forEach((address) => paths.recordDirect(address));
    paths.recordCut("d:1");
    expect(paths.stateOf("d:1")).to.equal("detour");
    expect(paths.stateOf("a:1")).to.equal("direct");
    expect(paths.stateOf("e:1")).to.equal("direct");
    expect(paths.isCutOff).to.equal(false);
  });

  it("are all taken as cut if most are", async () => {
    ["a:1", "b:1", "c:1", "d:1"].forEach((address) =>
      paths.recordDirect(address)
    );
    await clock.advance(4_000);
    paths.recordCut("a:1");
    expect(paths.isCutOff).to.equal(false);
    paths.recordCut("b:1");
    expect(paths.isCutOff).to.equal(true);
    expect(paths.stateOf("c:1")).to.equal("detour");
    expect(changes.at(-1)).to.deep.equal({
      address: undefined,
      state: "detour",
      cutCount: 2,
      triedCount: 2,
    });
  });

  it("are direct again a second after the links are back", async () => {
    paths.recordCut("a:1");
    paths.recordCut("b:1");
    await probe(5_000, () => false);
    expect(paths.stateOf("a:1")).to.equal("detour");
    await probe(3 * PROBE_MS, () => true);
    expect(paths.stateOf("a:1")).to.equal("direct");
    expect(paths.stateOf("b:1")).to.equal("direct");
    expect(paths.isCutOff).to.equal(false);
  });

  it("are not direct again after one successful probe", async () => {
    paths.recordCut("a:1");
    let count = 0;
    await probe(10_000, () => {
      count += 1;
      return count % 2 === 0;
    });
    expect(paths.stateOf("a:1")).to.equal("detour");
  });

  it("are probed less often while links flap", async () => {
    for (let round = 0; round < 4; round += 1) {
      paths.recordCut("a:1");
      await probe(12_000, () => true);
      // Only cuts within a short time make the interval longer.
    }
    const calm = await probe(1, () => true);
    expect(calm.size).to.equal(0);
    for (let round = 0; round < 5; round += 1) {
      paths.recordCut("a:1");
      const made = await probe(9_000, () => true);
      const [first, second] = made.get("a:1")!;
      expect(second! - first!).to.be.within(PROBE_MS, 4_250);
      if (round === 3) {
        expect(second! - first!).to.be.at.least(4_000);
      }
    }
  });

  it("are probed a few at a time", () => {
    for (let index = 0; index < 112; index += 1) {
      paths.recordCut(`a:${index}`);
    }
    expect(paths.takeProbes()).to.have.length(0);
    return clock.advance(PROBE_MS).then(() => {
      const first = paths.takeProbes();
      expect(first.length).to.be.within(1, 8);
      expect(paths.takeProbes()).to.not.include(first[0]);
    });
  });

  it("are forgotten with their endpoints", () => {
    paths.recordCut("a:1");
    paths.recordCut("b:1");
    paths.forget("a:1");
    paths.forget("b:1");
    expect(paths.cutAddresses).to.deep.equal([]);
    expect(paths.isCutOff).to.equal(false);
    expect(paths.stateOf("a:1")).to.equal("direct");
  });
});
