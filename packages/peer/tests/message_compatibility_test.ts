import { Buffer } from "node:buffer";
import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import { expect } from "chai";
import { describe, it } from "mocha";
import { peerpb } from "../src/index.ts";

const { FrameSchema } = peerpb;

/** A field of number 1000 with a text, as a later version may add. */
const LATER_FIELD = Buffer.from([0xc2, 0x3e, 0x03, 0x61, 0x62, 0x63]);

describe("messages of other versions", () => {
  it("are read though they carry fields that are not known here", () => {
    const frame = create(FrameSchema, {
      id: 7n,
      body: { case: "lookupRequest", value: { chatKey: 9n } },
    });
    const later = Buffer.concat([toBinary(FrameSchema, frame), LATER_FIELD]);
    const read = fromBinary(FrameSchema, later);
    expect(read.id).to.equal(7n);
    expect(read.body.case).to.equal("lookupRequest");
  });

  it("are told apart when their body is not known here", () => {
    const later = Buffer.concat([
      toBinary(FrameSchema, create(FrameSchema, { id: 7n })),
      LATER_FIELD,
    ]);
    expect(fromBinary(FrameSchema, later).body.case).to.equal(undefined);
  });

  it("have defaults where an earlier version sent nothing", () => {
    const earlier = create(peerpb.AdmitRequestSchema, { endpointId: "e" });
    const read = fromBinary(
      peerpb.AdmitRequestSchema,
      toBinary(peerpb.AdmitRequestSchema, earlier),
    );
    expect(read.suspect).to.equal(false);
    expect(read.entryNodeId).to.equal("");
  });
});
