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
    position: { era: 0, revision: 41 },
    storeConnectivity: "open",
    inFlightByEndpoint: new Map(),
    placements: [],
    crashReports: [],
    ...fields,
  };
}

describe("load messages", () => {
  it("tell the era of the store in a form that earlier releases accept", () => {
    const sent = message({ position: { era: 3, revision: 41 } });
    const [datagram] = encodeLoadMessage(sent);
    expect(JSON.parse(String(datagram))).to.have.length(8);
    expect(decodeLoadMessage(datagram!)).to.deep.equal(sent);
  });

  it("survive an encoding round trip", () => {
    const sent = message({
      inFlightByEndpoint: new Map([["e1/2", 3]]),
      placements: ["t", "e1"],
      crashReports: ["f", "e2/1"],
    });
    const [datagram] = encodeLoadMessage(sent);
    expect(decodeLoadMessage(datagram!)).to.deep.equal(sent);
  });

  it("are split into datagrams below the size limit", () => {
    const inFlightByEndpoint = new Map(
      Array.from(
        { length: 300 },
        (_, index) => [`i-${index}abcdefgh/17999`, index + 1],
      ),
    );
    const placements = Array.from(
      { length: 200 },
      (_, index) => `text-${index}`,
    );
    const datagrams = encodeLoadMessage(
      message({ inFlightByEndpoint, placements }),
    );
    expect(Math.max(...datagrams.map(({ length }) => length))).to.be.at.most(
      1_200,
    );
    const decoded = datagrams.map((data) => decodeLoadMessage(data)!);
    const merged = new Map(
      decoded.flatMap((part) => [...part.inFlightByEndpoint]),
    );
    expect(merged).to.deep.equal(inFlightByEndpoint);
    expect(decoded.flatMap((part) => part.placements)).to.deep.equal(
      placements,
    );
  });

  it("are decoded from arbitrary input without throwing", () => {
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
