import { Buffer } from "node:buffer";
import { ManualClock } from "@limpetshed/base";
import { expect } from "chai";
import fc from "fast-check";
import { describe, it } from "mocha";
import { decodeLeavingMessage } from "../src/leaving_message.ts";
import { decodeLimitMessage } from "../src/limit_message.ts";
import { decodeLoadMessage } from "../src/load_message.ts";
import {
  decodeStoredMessage,
  decodeStreamMessage,
} from "../src/stream_message.ts";
import { decodeUpdate } from "../src/decode_update.ts";
import { PeerDirectory } from "../src/peer_directory.ts";

const DEPTH = 20_000;
const NESTED = "[".repeat(DEPTH) + "]".repeat(DEPTH);

/** Valid messages with `?` in the place of a value. */
const TEMPLATES = [
  '["n1","start",1,5,"open",[?,1],[],[]]',
  '["n1","start",1,5,"open",["e1/1",?],[],[]]',
  '["n1","start",1,5,"open",[],["part",?],[]]',
  '["n1","start",1,5,"open",[],[],["trait",?]]',
  '["n1","start",1,?,"open",[],[],[]]',
  '[1,"n1","start",1,[["e1/1",?,1,1]],[],null]',
  '[1,"n1","start",1,[],[[?,1,1]],null]',
  '[1,"n1","start",1,[],[],[["e1/1",1,?]]]',
  '[2,["s","v1",[?]]]',
  '[2,[?,"v1",["x"]]]',
  '[2,["s","v1",["x"]],{"author":?,"isCopy":true}]',
  '[2,["s","v1",["x"]],?]',
  '[5,?,1,["s","v1",["x"]]]',
  '[5,"n1",?,["s","v1",["x"]]]',
  '[5,"n1",1,?]',
  "[3,[?]]",
  "[3,?]",
];

const ODD_VALUES = [
  NESTED,
  '{"toString":1}',
  "1e308",
  "-1",
  "null",
  `"${"x".repeat(3_000)}"`,
  '"\\ud800"',
  '"__proto__"',
  "9007199254740991",
];

describe("odd messages of other nodes", () => {
  // A datagram with deeply nested lists ended the process that received it.
  for (const template of TEMPLATES) {
    it(`are decoded or ignored: ${template}`, () => {
      for (const value of ODD_VALUES) {
        const data = Buffer.from(template.replace("?", value));
        const decode = () => [
          decodeLoadMessage(data),
          decodeLimitMessage(data),
          decodeStreamMessage(data),
          decodeStoredMessage(data),
          decodeLeavingMessage(data),
        ];
        expect(decode, value.slice(0, 30)).to.not.throw();
      }
    });
  }

  it("are decoded or ignored, whatever their bytes", () => {
    fc.assert(
      fc.property(
        fc.oneof(
          fc.uint8Array({ maxLength: 300 }),
          fc.json().map((text) => Buffer.from(text)),
        ),
        (bytes) => {
          const data = Buffer.from(bytes);
          decodeLoadMessage(data);
          decodeLimitMessage(data);
          decodeStreamMessage(data);
          decodeStoredMessage(data);
          decodeLeavingMessage(data);
        },
      ),
      { numRuns: 500 },
    );
  });

  it("do not make a node seem ahead once it tells its revision again", () => {
    const clock = new ManualClock();
    const directory = new PeerDirectory({ clock, selfId: "n0" });
    directory.put({
      id: "n1",
      availabilityZone: "a",
      callAddress: "n1:1",
      datagramAddress: "n1:2",
    });
    const storeConnectivity = "open";
    directory.recordDatagram("n1", {
      position: { era: 0, revision: Number.MAX_SAFE_INTEGER },
      storeConnectivity,
    });
    directory.recordDatagram("n1", {
      position: { era: 0, revision: 5 },
      storeConnectivity,
    });
    expect(directory.mostUpToDatePeer()?.position.revision).to.equal(5);
  });

  // A response far ahead of the store made a node ignore all that came later.
  it("are rejected if they are further ahead than the store can be", () => {
    const after = { era: 0, revision: 50 };
    const update = (asOf: number, revision = asOf) => ({
      kind: "changes",
      asOf,
      changes: [{ key: "a", value: "1", revision }],
    });
    expect(decodeUpdate(update(60), { after }).asOf).to.equal(60);
    for (
      const odd of [
        update(Number.MAX_SAFE_INTEGER),
        update(60, Number.MAX_SAFE_INTEGER),
      ]
    ) {
      expect(() => decodeUpdate(odd, { after })).to.throw("ahead");
    }
  });
});
