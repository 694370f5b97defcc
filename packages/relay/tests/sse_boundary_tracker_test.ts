import { Buffer } from "node:buffer";
import { expect } from "chai";
import fc from "fast-check";
import { describe, it } from "mocha";
import {
  lastEventEnd,
  SseBoundaryTracker,
} from "../src/sse_boundary_tracker.ts";
import { SseFramer } from "../src/sse_framer.ts";

const LINE_ENDS = ["\n", "\r\n", "\r"];

describe("SseFramer", () => {
  // Streams whose lines end in CRLF were held back until their end.
  for (const lineEnd of LINE_ENDS) {
    it(`passes on events whose lines end in ${JSON.stringify(lineEnd)}`, () => {
      const framer = new SseFramer();
      const event = ["id: 7", "data: a", "", ""].join(lineEnd);
      const sent = framer.push(Buffer.from(`${event}id: 8`));
      expect(sent.toString()).to.equal(event);
      expect(framer.lastEventId).to.equal("7");
      expect(framer.flush().toString()).to.equal("id: 8");
    });
  }
});

describe("lastEventEnd", () => {
  it("finds the last two line endings of a kind", () => {
    const text = fc.array(fc.constantFrom("a", ...LINE_ENDS))
      .map((parts) => parts.join(""));
    fc.assert(fc.property(text, (stream) => {
      const ends = ["\n\n", "\r\n\r\n", "\r\r"].map((end) => {
        const index = stream.lastIndexOf(end);
        return index < 0 ? -1 : index + end.length;
      });
      expect(lastEventEnd(Buffer.from(stream))).to.equal(Math.max(...ends));
    }));
  });
});

describe("SseBoundaryTracker", () => {
  it("counts the bytes of the open event however the stream is split", () => {
    const text = fc.array(fc.constantFrom("ab", ...LINE_ENDS))
      .map((parts) => parts.join(""));
    fc.assert(fc.property(text, fc.array(fc.nat(20)), (stream, cuts) => {
      const tracker = new SseBoundaryTracker();
      const bytes = Buffer.from(stream);
      let from = 0;
      for (const cut of [...cuts, bytes.length]) {
        const to = Math.min(bytes.length, from + cut);
        if (to > from) {
          tracker.push(bytes.subarray(from, to));
        }
        from = to;
      }
      const end = Math.max(0, lastEventEnd(bytes));
      expect(tracker.openEventBytes).to.equal(bytes.length - end);
      expect(tracker.hasEvents).to.equal(end > 0);
    }));
  });

  // A stream that ended inside an event was taken for a complete one.
  it("knows whether the stream is inside an event however it is split", () => {
    const part = fc.constantFrom("ab", ":", ":ab", ...LINE_ENDS);
    const text = fc.array(part).map((parts) => parts.join(""));
    fc.assert(fc.property(text, fc.nat(20), (stream, cut) => {
      const tracker = new SseBoundaryTracker();
      const bytes = Buffer.from(stream);
      tracker.push(bytes.subarray(0, cut));
      tracker.push(bytes.subarray(cut));
      const lines = stream.split(/\r\n|\n|\r/);
      const openLine = lines.pop();
      const openLines = lines.slice(lines.lastIndexOf("") + 1);
      expect(tracker.isInsideEvent).to.equal(
        openLine !== "" || openLines.some((line) => !line.startsWith(":")),
      );
    }));
  });
});
