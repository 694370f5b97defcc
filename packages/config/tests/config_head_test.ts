import { expect } from "chai";
import { describe, it } from "mocha";
import { applyPatch, replayRecord } from "../src/apply_patch.ts";
import { assembleSnapshot } from "../src/assemble_snapshot.ts";
import {
  contentDigest,
  decodeHead,
  encodeHead,
  headDigest,
} from "../src/config_head.ts";
import { emptySnapshot } from "../src/config_snapshot.ts";

const ZONES = {
  availability_zones: { north: { state: "in" }, south: { state: "in" } },
};
const NORTH_OUT = { availability_zones: { north: { state: "out" } } };

describe("config head", () => {
  const identity = (id: string) => ({ identity: { id, fingerprint: id } });

  it("encodes to the same text after decoding", () => {
    const { snapshot } = applyPatch(emptySnapshot(), ZONES, identity("one"));
    const text = encodeHead(snapshot.head);
    expect(encodeHead(decodeHead(text))).to.equal(text);
  });

  it("replays the next record on a version built from a head", async () => {
    const first = applyPatch(emptySnapshot(), ZONES, identity("one"));
    const assembled = await assembleSnapshot(
      decodeHead(encodeHead(first.snapshot.head)),
      { readChunks: () => Promise.resolve(first.added) },
    );
    const patch = JSON.stringify(NORTH_OUT);
    const second = applyPatch(first.snapshot, NORTH_OUT, {
      identity: { id: "two", fingerprint: contentDigest(patch) },
    });
    const replayed = replayRecord(assembled, {
      version: 2,
      id: "two",
      author: "test",
      at: "2026-01-01T00:00:00Z",
      patch,
      headDigest: headDigest(second.snapshot.head),
    });
    expect(replayed.isZoneIn("north")).to.equal(false);
    expect(replayed.isZoneIn("south")).to.equal(true);
  });
});
