import { Buffer } from "node:buffer";
import { expect } from "chai";
import fc from "fast-check";
import { describe, it } from "mocha";
import {
  decodeLimitMessage,
  encodeLimitMessage,
  type LimitEntry,
  type LimitMessage,
  type LoanEntry,
  type NeedEntry,
} from "../src/limit_message.ts";
import { decodeLoadMessage } from "../src/load_message.ts";

const KEY = "endpoint-1234567/1791239589638";
const MAX_DATAGRAM_BYTES = 1_200;

function message(fields: Partial<LimitMessage> = {}): LimitMessage {
  return {
    nodeId: "front-1",
    incarnation: "1791239589638",
    round: 7,
    limits: [],
    needs: [],
    loans: undefined,
    ...fields,
  };
}

function repeat<T>(count: number, value: T): T[] {
  return Array.from({ length: count }, () => value);
}

describe("limit messages", () => {
  it("survive an encoding round trip", () => {
    const full = message({
      limits: [[KEY, 7.5, 40, 90], [KEY, null, 0, 20]],
      needs: [[KEY, 1, 300]],
      loans: [[KEY, 0.25, 1]],
    });
    expect(encodeLimitMessage(full).map(decodeLimitMessage)).to.deep.equal([
      full,
    ]);
  });

  it("are left out if there is nothing to tell", () => {
    expect(encodeLimitMessage(message())).to.deep.equal([]);
  });

  it("tell a borrower that its last loan has ended", () => {
    const [data] = encodeLimitMessage(message({ loans: [] }));
    expect(decodeLimitMessage(data!)!.loans).to.deep.equal([]);
  });

  it("fit into datagrams whatever they hold", () => {
    const limits = repeat<LimitEntry>(32, [KEY, 1234.5, 123_456, 123_456]);
    const needs = repeat<NeedEntry>(32, [KEY, 12, 123_456]);
    const loans = repeat<LoanEntry>(40, [KEY, 0.1234567890123456, 1]);
    for (const fields of [{ limits, needs }, { loans }]) {
      const datagrams = encodeLimitMessage(message(fields));
      expect(Math.max(...datagrams.map(({ length }) => length)))
        .to.be.at.most(MAX_DATAGRAM_BYTES);
    }
    const decoded = encodeLimitMessage(message({ limits, needs }))
      .map((data) => decodeLimitMessage(data)!);
    expect(decoded.flatMap((part) => part.limits).length).to.equal(32);
    expect(decoded.flatMap((part) => part.needs).length).to.equal(32);
  });

  it("are no load messages to nodes of the release before", () => {
    const [data] = encodeLimitMessage(message({ needs: [[KEY, 0, 0]] }));
    expect(decodeLoadMessage(data!)).to.equal(undefined);
  });

  it("are decoded from arbitrary input without throwing", () => {
    fc.assert(
      fc.property(fc.json(), (text) => {
        decodeLimitMessage(Buffer.from(text));
      }),
    );
    for (const amount of ["-1", '"7"', "1e999", "null"]) {
      const text = `[1,"n","i",1,[],[],[["e",${amount},0]]]`;
      expect(decodeLimitMessage(Buffer.from(text))!.loans).to.deep.equal([]);
    }
  });
});
