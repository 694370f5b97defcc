import { ManualClock } from "@limpetshed/base";
import { PeerDirectory } from "@limpetshed/fleet";
import { expect } from "chai";
import { beforeEach, describe, it } from "mocha";
import { HelperSelector } from "../src/helper_selector.ts";

const PEERS = 9;

// A node without links to endpoints asked nodes that had none either.
describe("HelperSelector", () => {
  let clock: ManualClock;
  let directory: PeerDirectory;
  let selector: HelperSelector;

  beforeEach(() => {
    clock = new ManualClock();
    directory = new PeerDirectory({ clock, selfId: "self" });
    for (let index = 0; index < PEERS; index += 1) {
      directory.put({
        id: `n${index}`,
        availabilityZone: "abc"[index % 3]!,
        callAddress: `10.0.0.${index}:1`,
        datagramAddress: `10.0.0.${index}:2`,
      });
    }
    hearFromAll();
    selector = new HelperSelector({ clock, availabilityZone: "a", directory });
  });

  function hearFromAll(): void {
    directory.peers().forEach(({ id }) =>
      directory.recordDatagram(id, {
        position: { era: 0, revision: 1 },
        storeConnectivity: "open",
      })
    );
  }

  const first = () => selector.candidates(1)[0]!;

  it("spreads requests over the nodes of the zone", () => {
    const asked = new Map<string, number>();
    for (let count = 0; count < 90; count += 1) {
      const { id, availabilityZone } = first();
      expect(availabilityZone).to.equal("a");
      asked.set(id, (asked.get(id) ?? 0) + 1);
    }
    expect(asked.size).to.equal(3);
    expect(Math.max(...asked.values())).to.be.at.most(60);
  });

  it("asks other zones when those of the zone have failed", async () => {
    ["n0", "n3", "n6"].forEach((id) => selector.recordFailure(id));
    expect(first().availabilityZone).to.not.equal("a");
    await clock.advance(2_100);
    hearFromAll();
    expect(first().availabilityZone).to.equal("a");
  });

  it("asks nodes that have failed if there are no others", () => {
    directory.peers().forEach(({ id }) => selector.recordFailure(id));
    expect(selector.candidates(4)).to.have.length(4);
    selector.recordSuccess("n4");
    expect(first().id).to.equal("n4");
  });

  it("does not ask nodes that are silent", async () => {
    await clock.advance(5_000);
    expect(selector.candidates(4)).to.deep.equal([]);
  });
});
