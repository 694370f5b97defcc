import { ManualClock } from "@limpetshed/base";
import { PeerDirectory, type StoreConnectivity } from "@limpetshed/fleet";
import { initHashing, Rng } from "@limpetshed/hashing";
import { KeyMirror, type MirrorFollower } from "@limpetshed/mirror";
import { expect } from "chai";
import { before, describe, it } from "mocha";
import { StateSources } from "../src/state_sources.ts";

const PEERS = ["n1", "n2", "n3", "n4"];

function setUp(
  { zones = "aaaa", selfId = "n0", peers = PEERS }: {
    zones?: string;
    selfId?: string;
    peers?: readonly string[];
  } = {},
) {
  const clock = new ManualClock();
  const directory = new PeerDirectory({ clock, selfId });
  const mirror = new KeyMirror();
  const follower = {
    isReachable: true,
    lastFailureMs: Number.NEGATIVE_INFINITY,
  };
  const sources = new StateSources({
    clock,
    rng: new Rng(1),
    nodeId: selfId,
    availabilityZone: "a",
    ownAddress: `${selfId}:1`,
    directory,
    mirror,
    seeds: ["n0:1", "n9:1"],
  });
  sources.attach(follower as unknown as MirrorFollower);
  const hear = (asOf: number, storePath: StoreConnectivity = "open") =>
    peers.forEach((id, at) => {
      directory.put({
        id,
        availabilityZone: zones[at % zones.length]!,
        calls: `${id}:1`,
        datagrams: `${id}:2`,
      });
      directory.recordDatagram(id, { asOf, storeConnectivity: storePath });
    });
  const know = (asOf: number) =>
    mirror.apply({ kind: "snapshot", entries: [], asOf });
  return { clock, directory, mirror, follower, sources, hear, know };
}

describe("StateSources", () => {
  before(() => initHashing());

  it("asks the store first, then the seeds too, when it starts", async () => {
    const { clock, follower, sources } = setUp();
    follower.isReachable = false;
    expect(sources.hasWatchDuty).to.equal(true);
    expect(sources.needsPeers).to.equal(false);
    await clock.advance(300);
    expect(sources.needsPeers).to.equal(true);
    expect(sources.peerToAsk()).to.equal("n9:1");
  });

  it("asks the seeds at once when the store refuses it", async () => {
    const { clock, follower, sources } = setUp();
    await clock.advance(10);
    follower.isReachable = false;
    follower.lastFailureMs = 10;
    expect(sources.needsPeers).to.equal(true);
  });

  it("watches the store alone in its zone", () => {
    const { sources, hear, know } = setUp({ zones: "bbbb" });
    know(5);
    hear(5);
    expect(sources.hasWatchDuty).to.equal(true);
    expect(sources.needsPeers).to.equal(false);
  });

  it("leaves the watch to others where the store refuses it", async () => {
    const { clock, sources, follower, hear, know } = setUp({ zones: "abbb" });
    know(5);
    await clock.advance(1_000);
    follower.isReachable = false;
    follower.lastFailureMs = 1_000;
    hear(5);
    expect(sources.storePath).to.equal("lost");
    expect(sources.hasWatchDuty).to.equal(false);
    expect(sources.needsPeers).to.equal(true);
    await clock.advance(5_001);
    expect(sources.storePath).to.equal("unknown");
  });

  it("asks a peer that knows more, after a moment", async () => {
    const { clock, sources, hear, know } = setUp({ zones: "bbbb" });
    know(5);
    hear(9);
    expect(sources.needsPeers).to.equal(false);
    await clock.advance(200);
    expect(sources.needsPeers).to.equal(true);
    expect(PEERS.map((id) => `${id}:1`)).to.include(sources.peerToAsk());
  });

  it("spreads followers so that none has more than a few", () => {
    const ids = Array.from({ length: 100 }, (_, at) => `n${at}`);
    const followers = new Map<string, number>();
    for (const nodeId of ids) {
      const peers = ids.filter((id) => id !== nodeId);
      const { sources, know, hear } = setUp({ selfId: nodeId, peers });
      know(5);
      hear(5);
      if (!sources.hasWatchDuty) {
        const asked = sources.peerToAsk()!;
        followers.set(asked, (followers.get(asked) ?? 0) + 1);
      }
    }
    const counts = [...followers.values()];
    expect(Math.max(...counts)).to.be.at.most(8);
    expect(counts.reduce((sum, count) => sum + count, 0)).to.equal(98);
  });

  it("prefers a watcher of its own zone", async () => {
    const { clock, sources, follower, hear, know } = setUp({ zones: "abcd" });
    know(5);
    await clock.advance(1_000);
    follower.isReachable = false;
    follower.lastFailureMs = 1_000;
    hear(5);
    expect(sources.hasWatchDuty).to.equal(false);
    expect(sources.peerToAsk()).to.equal("n1:1");
  });
});
