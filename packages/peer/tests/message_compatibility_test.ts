import { Buffer } from "node:buffer";
import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import { expect } from "chai";
import { describe, it } from "mocha";
import { peerpb } from "../src/index.ts";

const { FrameSchema } = peerpb;

/** Encoded string field number 1000, as a newer schema may add. */
const UNKNOWN_FIELD = Buffer.from([0xc2, 0x3e, 0x03, 0x61, 0x62, 0x63]);

describe("messages of other protocol versions", () => {
  it("decode with unknown fields", () => {
    const frame = create(FrameSchema, {
      id: 7n,
      body: { case: "lookupRequest", value: { chatKey: 9n } },
    });
    const newer = Buffer.concat([toBinary(FrameSchema, frame), UNKNOWN_FIELD]);
    const decoded = fromBinary(FrameSchema, newer);
    expect(decoded.id).to.equal(7n);
    expect(decoded.body.case).to.equal("lookupRequest");
  });

  it("decode to an undefined body case if the body is unknown", () => {
    const newer = Buffer.concat([
      toBinary(FrameSchema, create(FrameSchema, { id: 7n })),
      UNKNOWN_FIELD,
    ]);
    expect(fromBinary(FrameSchema, newer).body.case).to.equal(undefined);
  });

  it("use defaults for fields that an earlier version does not send", () => {
    const older = create(peerpb.AdmitRequestSchema, { endpointId: "e" });
    const decoded = fromBinary(
      peerpb.AdmitRequestSchema,
      toBinary(peerpb.AdmitRequestSchema, older),
    );
    expect(decoded.suspect).to.equal(false);
    expect(decoded.entryNodeId).to.equal("");
  });
});
