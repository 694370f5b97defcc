import { ManualClock } from "@limpetshed/base";
import { expect } from "chai";
import { describe, it } from "mocha";
import { PeerDirectory } from "../src/peer_directory.ts";
import {
  ROUND_INTERVAL_MS,
  roundsToReachAll,
} from "../src/broadcast_schedule.ts";

function makeDirectory(peers: number) {
  const clock = new ManualClock();
  const directory = new PeerDirectory({ clock, selfId: "n0" });
  for (let index = 1; index <= peers; index += 1) {
    directory.put({
      id: `n${index}`,
      availabilityZone: "a",
      callAddress: `10.0.0.${index}:1`,
      datagramAddress: `10.0.0.${index}:2`,
    });
  }
  return { clock, directory };
}

describe("PeerDirectory with round-robin broadcasts", () => {
  for (const peers of [3, 33, 299, 409]) {
    it(`keeps each of ${peers} peers live when single datagrams are lost`, async () => {
      const { clock, directory } = makeDirectory(peers);
      const cycleMs = ROUND_INTERVAL_MS * roundsToReachAll(peers);
      for (let cycle = 0; cycle < 4; cycle += 1) {
        // Every second datagram is lost.
        if (cycle % 2 === 0) {
          directory.peers().forEach(({ id }) =>
            directory.recordDatagram(id, {
              position: { era: 0, revision: 1 },
              storeConnectivity: "open",
            })
          );
        }
        expect(directory.livePeers()).to.have.length(peers);
        await clock.advance(cycleMs);
      }
      await clock.advance(directory.livenessTimeoutMs);
      expect(directory.livePeers()).to.have.length(0);
    });
  }
});
