import { Buffer } from "node:buffer";
import { expect } from "chai";
import fc from "fast-check";
import { describe, it } from "mocha";
import {
  decodeLoadMessage,
  encodeLoadMessage,
  type LoadMessage,
} from "../src/load_message.ts";

function message(fields: Partial<LoadMessage> = {}): LoadMessage {
  return {
    nodeId: "n1",
    incarnation: "abc",
    round: 7,
    asOf: 41,
    storePath: "open",
    counts: new Map(),
    placed: [],
    crashed: [],
    ...fields,
  };
}

describe("load messages", () => {
  it("come back as they were", () => {
    const sent = message({
      counts: new Map([["e1/2", 3]]),
      placed: ["t", "e1"],
      crashed: ["f", "e2/1"],
    });
    const [data] = encodeLoadMessage(sent);
    expect(decodeLoadMessage(data!)).to.deep.equal(sent);
  });

  it("are split so that no datagram is too large", () => {
    const counts = new Map(
      Array.from({ length: 300 }, (_, at) => [`i-${at}abcdefgh/17999`, at + 1]),
    );
    const placed = Array.from({ length: 200 }, (_, at) => `text-${at}`);
    const datagrams = encodeLoadMessage(message({ counts, placed }));
    expect(Math.max(...datagrams.map(({ length }) => length))).to.be.at.most(
      1_200,
    );
    const parts = datagrams.map((data) => decodeLoadMessage(data)!);
    const whole = new Map(parts.flatMap((part) => [...part.counts]));
    expect(whole).to.deep.equal(counts);
    expect(parts.flatMap((part) => part.placed)).to.deep.equal(placed);
  });

  it("ignore anything else that arrives", () => {
    fc.assert(
      fc.property(fc.uint8Array({ maxLength: 200 }), (bytes) => {
        decodeLoadMessage(Buffer.from(bytes));
      }),
    );
    fc.assert(
      fc.property(fc.json(), (text) => {
        decodeLoadMessage(Buffer.from(text));
      }),
    );
    expect(decodeLoadMessage(Buffer.from("[1,2,3,4,5,6,7,8]"))).to.equal(
      undefined,
    );
  });
});
