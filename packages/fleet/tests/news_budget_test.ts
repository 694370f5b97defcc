import { ManualClock } from "@limpetshed/base";
import { expect } from "chai";
import { describe, it } from "mocha";
import {
  ROUND_INTERVAL_MS,
  roundsToReachAll,
} from "../src/broadcast_schedule.ts";
import { PeerDirectory } from "../src/peer_directory.ts";

/** Time in which each live node is to hear of an event. */
const MAX_NEWS_AGE_MS = 1_500;
/** Time in which each live node is to know that another one has ended. */
const MAX_DEAD_UNKNOWN_MS = 3_000;

const FLEET_SIZES = [5, 30, 78, 300, 408];

function directoryOf(nodes: number): PeerDirectory {
  const clock = new ManualClock();
  const directory = new PeerDirectory({ clock, selfId: "n0" });
  for (let index = 1; index < nodes; index += 1) {
    directory.put({
      id: `n${index}`,
      availabilityZone: "a",
      callAddress: `n${index}:1`,
      datagramAddress: `n${index}:2`,
    });
  }
  return directory;
}

describe("news between nodes", () => {
  for (const nodes of FLEET_SIZES) {
    it(`reach all of ${nodes} nodes in time`, () => {
      const newsAgeMs = ROUND_INTERVAL_MS * roundsToReachAll(nodes - 1);
      expect(newsAgeMs).to.be.at.most(MAX_NEWS_AGE_MS);
    });

    it(`tell the end of one of ${nodes} nodes in time`, () => {
      expect(directoryOf(nodes).livenessTimeoutMs)
        .to.be.at.most(MAX_DEAD_UNKNOWN_MS);
    });
  }
});
