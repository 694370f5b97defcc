import { Buffer } from "node:buffer";
import { readFileSync } from "node:fs";
import {
  decodeLimitMessage,
  decodeLoadMessage,
  decodeStreamMessage,
  decodeUpdate,
} from "@limpetshed/fleet";
import { expect } from "chai";
import { describe, it } from "mocha";
import { decodeCachedParts } from "../src/cached_parts.ts";
import { decodeCrashReports } from "../src/crash_reports.ts";

/** Messages as the build of commit 2e4a3c3 writes them. */
const MESSAGES = JSON.parse(
  readFileSync(
    new URL("../../tests/data/messages_2e4a3c3.json", import.meta.url),
    "utf8",
  ),
) as {
  load: string[];
  limit: string[];
  stream: string[];
  changes: string;
  snapshot: string;
  placements: string;
};

const DECODERS = [decodeLoadMessage, decodeLimitMessage, decodeStreamMessage];

describe("messages of the build before", () => {
  it("are decoded: loads, placements and crash reports", () => {
    const message = decodeLoadMessage(Buffer.from(MESSAGES.load[0]!))!;
    expect({ ...message, inFlightByEndpoint: [...message.inFlightByEndpoint] })
      .to.deep.equal({
        nodeId: "n1",
        incarnation: "start-1",
        round: 7,
        position: { era: 0, revision: 42 },
        storeConnectivity: "open",
        inFlightByEndpoint: [["e1/1", 3]],
        placements: ["p1", "e1/1"],
        crashReports: ["s/p1", "e1/1~850~120~trial", "s/p2", "e1/1~ok"],
      });
    expect(decodeCachedParts(message.placements))
      .to.deep.equal([{ partId: "p1", endpoint: "e1/1" }]);
    expect(decodeCrashReports(message.crashReports).map(({ kind }) => kind))
      .to.deep.equal(["crash", "cleared"]);
  });

  it("are decoded: limits, needs and loans", () => {
    expect(decodeLimitMessage(Buffer.from(MESSAGES.limit[0]!)))
      .to.deep.equal({
        nodeId: "n1",
        incarnation: "start-1",
        round: 7,
        limits: [["e1/1", 5.3, 56, 60], ["e2/1", null, 5, 6]],
        needs: [["e2/1", 1, 200]],
        loans: [["e1/1", 0.5, 1]],
      });
  });

  it("are decoded: streams", () => {
    expect(decodeStreamMessage(Buffer.from(MESSAGES.stream[0]!)))
      .to.deep.equal({
        groups: [["s", "v1", ["a1", "b2"]]],
        author: undefined,
        isCopy: false,
      });
  });

  it("are decoded: changes and snapshots of shared state", () => {
    expect(
      decodeUpdate(JSON.parse(MESSAGES.changes), {
        after: { era: 0, revision: 5 },
      }),
    )
      .to.deep.equal({
        kind: "changes",
        era: 0,
        changes: [
          { key: "servers/e1", value: undefined, revision: 6 },
          { key: "op/config", value: "{}", revision: 7 },
        ],
        asOf: 7,
      });
    expect(
      decodeUpdate(JSON.parse(MESSAGES.snapshot), {
        after: { era: 0, revision: 1 },
      }),
    )
      .to.deep.equal({
        kind: "snapshot",
        era: 0,
        entries: [{ key: "op/config", value: "{}", revision: 7 }],
        asOf: 7,
      });
  });

  it("are decoded: placements for a starting node", () => {
    expect(decodeCachedParts(JSON.parse(MESSAGES.placements) as string[]))
      .to.deep.equal([{ partId: "p1", endpoint: "e1/1" }]);
  });

  it("are not taken for those of another kind", () => {
    const texts = [...MESSAGES.load, ...MESSAGES.limit, ...MESSAGES.stream];
    for (const text of texts) {
      const data = Buffer.from(text);
      expect(DECODERS.filter((decode) => decode(data) !== undefined))
        .to.have.length(1);
    }
  });
});

describe("messages of later builds", () => {
  for (
    const text of [
      '[3,"n1","start-1",7,[]]',
      '["n1","start-1",7,42,"open",[],[],[],[]]',
      '{"kind":"load"}',
    ]
  ) {
    it(`of an unknown kind are passed over: ${text}`, () => {
      const data = Buffer.from(text);
      expect(DECODERS.filter((decode) => decode(data) !== undefined))
        .to.have.length(0);
    });
  }

  it("with unknown fields are decoded without them", () => {
    const update = { kind: "changes", changes: [], asOf: 7, later: [1] };
    expect(decodeUpdate(update, { after: { era: 0, revision: 5 } }))
      .to.deep.equal({ kind: "changes", era: 0, changes: [], asOf: 7 });
  });
});
