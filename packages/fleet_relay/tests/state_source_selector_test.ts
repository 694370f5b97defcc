import { ManualClock } from "@limpetshed/base";
import { PeerDirectory, type StoreConnectivity } from "@limpetshed/fleet";
import { initHashing, Rng } from "@limpetshed/hashing";
import { KeyMirror, type MirrorFollower } from "@limpetshed/mirror";
import { expect } from "chai";
import { before, describe, it } from "mocha";
import { StateSourceSelector } from "../src/state_source_selector.ts";

const PEERS = ["n1", "n2", "n3", "n4"];
const MAX_STATE_AGE_MS = 800;

function setUp(
  { zones = "aaaa", selfId = "n0", peers = PEERS }: {
    /** One letter for the zone of each peer, repeated if there are more. */
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
    lastSuccessMs: Number.NEGATIVE_INFINITY,
    lastFailureMs: Number.NEGATIVE_INFINITY,
  };
  const selector = new StateSourceSelector({
    clock,
    rng: new Rng(1),
    nodeId: selfId,
    availabilityZone: "a",
    ownAddress: `${selfId}:1`,
    directory,
    mirror,
    seeds: ["n0:1", "n9:1"],
    maxStateAgeMs: MAX_STATE_AGE_MS,
  });
  selector.setStoreFollower(follower as unknown as MirrorFollower);
  const announcePeers = (
    asOf: number,
    storeConnectivity: StoreConnectivity = "open",
  ) =>
    peers.forEach((id, index) => {
      directory.put({
        id,
        availabilityZone: zones[index % zones.length]!,
        callAddress: `${id}:1`,
        datagramAddress: `${id}:2`,
      });
      directory.recordDatagram(id, {
        position: { era: 0, revision: asOf },
        storeConnectivity,
      });
    });
  const setKnownRevision = (asOf: number) => {
    const now = clock.monotonicMs();
    const times = { receivedMs: now, confirmedMs: now };
    mirror.apply({ kind: "snapshot", entries: [], asOf }, times);
  };
  return {
    clock,
    directory,
    mirror,
    follower,
    selector,
    announcePeers,
    setKnownRevision,
  };
}

describe("StateSourceSelector", () => {
  before(() => initHashing());

  it("waits for the store at startup before it asks the seeds", async () => {
    const { clock, follower, selector } = setUp();
    follower.isReachable = false;
    expect(selector.isWatcher).to.equal(true);
    expect(selector.shouldFollowPeers).to.equal(false);
    await clock.advance(300);
    expect(selector.shouldFollowPeers).to.equal(true);
    expect(selector.selectPeer()).to.equal("n9:1");
  });

  it("asks the seeds immediately if the store fails at startup", async () => {
    const { clock, follower, selector } = setUp();
    await clock.advance(10);
    follower.isReachable = false;
    follower.lastFailureMs = 10;
    expect(selector.shouldFollowPeers).to.equal(true);
  });

  it("watches the store as the only node of its zone", () => {
    const { selector, announcePeers, setKnownRevision } = setUp({
      zones: "bbbb",
    });
    setKnownRevision(5);
    announcePeers(5);
    expect(selector.isWatcher).to.equal(true);
    expect(selector.shouldFollowPeers).to.equal(false);
  });

  it("leaves watching to others while its store connection is lost", async () => {
    const { clock, selector, follower, announcePeers, setKnownRevision } =
      setUp({ zones: "abbb" });
    setKnownRevision(5);
    await clock.advance(1_000);
    follower.isReachable = false;
    follower.lastFailureMs = 1_000;
    announcePeers(5);
    expect(selector.storeConnectivity).to.equal("lost");
    expect(selector.isWatcher).to.equal(false);
    expect(selector.shouldFollowPeers).to.equal(true);
    await clock.advance(5_001);
    expect(selector.storeConnectivity).to.equal("unknown");
  });

  it("asks a peer that is ahead after the maximum lag", async () => {
    const { clock, selector, announcePeers, setKnownRevision } = setUp({
      zones: "bbbb",
    });
    setKnownRevision(5);
    announcePeers(9);
    expect(selector.shouldFollowPeers).to.equal(false);
    await clock.advance(200);
    expect(selector.shouldFollowPeers).to.equal(true);
    expect(PEERS.map((id) => `${id}:1`)).to.include(selector.selectPeer());
  });

  it("stays with its parent while another node is a little ahead", () => {
    const { directory, selector, announcePeers, setKnownRevision } = setUp();
    setKnownRevision(5);
    announcePeers(5);
    const parent = selector.selectPeer();
    const ahead = PEERS.find((id) => `${id}:1` !== parent)!;
    directory.recordDatagram(ahead, {
      position: { era: 0, revision: 9 },
      storeConnectivity: "open",
    });
    expect(selector.selectPeer()).to.equal(parent);
  });

  // A node that started from the state of one that did not reach the store used a
  // key again that had been withdrawn.
  it("leaves its parent at once for a node that is ahead of an old state", async () => {
    const { clock, directory, selector, announcePeers, setKnownRevision } =
      setUp();
    setKnownRevision(5);
    await clock.advance(MAX_STATE_AGE_MS + 1);
    announcePeers(5);
    const parent = selector.selectPeer();
    const ahead = PEERS.find((id) => `${id}:1` !== parent)!;
    directory.recordDatagram(ahead, {
      position: { era: 0, revision: 9 },
      storeConnectivity: "open",
    });
    expect(selector.selectPeer()).to.equal(`${ahead}:1`);
  });

  // A node whose first call failed counted the store as lost for 5 s, though the
  // store had answered since, and learnt late that an endpoint leaves.
  it("counts the store as lost only until it answers again", async () => {
    const { clock, selector, follower } = setUp({ zones: "aaaa" });
    await clock.advance(100);
    follower.lastFailureMs = 100;
    follower.isReachable = false;
    expect(selector.storeConnectivity).to.equal("lost");
    await clock.advance(100);
    follower.lastSuccessMs = 200;
    expect(selector.storeConnectivity).to.equal("unknown");
  });

  it("knows whether a live peer reaches the store", async () => {
    const { clock, selector, announcePeers } = setUp();
    announcePeers(5, "lost");
    expect(selector.isStoreReachedByPeers).to.equal(false);
    announcePeers(5, "open");
    expect(selector.isStoreReachedByPeers).to.equal(true);
    await clock.advance(1_501);
    expect(selector.isStoreReachedByPeers).to.equal(false);
  });

  it("limits the followers of each node", () => {
    const ids = Array.from({ length: 100 }, (_, index) => `n${index}`);
    const followers = new Map<string, number>();
    for (const nodeId of ids) {
      const peers = ids.filter((id) => id !== nodeId);
      const { selector, setKnownRevision, announcePeers } = setUp({
        selfId: nodeId,
        peers,
      });
      setKnownRevision(5);
      announcePeers(5);
      if (!selector.isWatcher) {
        const parentAddress = selector.selectPeer()!;
        followers.set(parentAddress, (followers.get(parentAddress) ?? 0) + 1);
      }
    }
    const counts = [...followers.values()];
    expect(Math.max(...counts)).to.be.at.most(8);
    expect(counts.reduce((sum, count) => sum + count, 0)).to.equal(98);
  });

  it("prefers a watcher of its own zone", async () => {
    const { clock, selector, follower, announcePeers, setKnownRevision } =
      setUp({ zones: "abcd" });
    setKnownRevision(5);
    await clock.advance(1_000);
    follower.isReachable = false;
    follower.lastFailureMs = 1_000;
    announcePeers(5);
    expect(selector.isWatcher).to.equal(false);
    expect(selector.selectPeer()).to.equal("n1:1");
  });
});
