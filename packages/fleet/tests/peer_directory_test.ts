import { ManualClock } from "@limpetshed/base";
import { expect } from "chai";
import { describe, it } from "mocha";
import { PeerDirectory } from "../src/peer_directory.ts";
import { ROUND_MS, roundsToTell } from "../src/telling.ts";

function fleet(peers: number) {
  const clock = new ManualClock();
  const directory = new PeerDirectory({ clock, selfId: "n0" });
  for (let at = 1; at <= peers; at += 1) {
    directory.put({
      id: `n${at}`,
      availabilityZone: "a",
      calls: `10.0.0.${at}:1`,
      datagrams: `10.0.0.${at}:2`,
    });
  }
  return { clock, directory };
}

describe("PeerDirectory in fleets whose nodes are told in turn", () => {
  for (const peers of [3, 33, 299, 409]) {
    it(`counts on each of ${peers} nodes although a datagram is lost`, async () => {
      const { clock, directory } = fleet(peers);
      const turnMs = ROUND_MS * roundsToTell(peers);
      for (let turn = 0; turn < 4; turn += 1) {
        // Every second datagram is lost.
        if (turn % 2 === 0) {
          directory.all().forEach(({ id }) =>
            directory.heard(id, { asOf: 1, storePath: "open" })
          );
        }
        expect(directory.live()).to.have.length(peers);
        await clock.advance(turnMs);
      }
      await clock.advance(directory.silentMs);
      expect(directory.live()).to.have.length(0);
    });
  }
});
