import { Buffer } from "node:buffer";
import { expect } from "chai";
import fc from "fast-check";
import { describe, it } from "mocha";
import { lastEventEnd } from "../src/sse_boundary_tracker.ts";
import { SseFramer } from "../src/sse_framer.ts";

const EVENT_BYTES = 262_144;
/** Far below the time for which a request of another client may wait. */
const MAX_BLOCKED_MS = 200;

describe("SseFramer", () => {
  // Each chunk copied and searched all that was held of the event, so one event
  // without end held up all requests of the node for seconds.
  for (const chunkBytes of [1, 64, 1_024]) {
    it(`takes an event in chunks of ${chunkBytes} bytes in time that grows with its size only`, () => {
      const framer = new SseFramer();
      const chunk = Buffer.alloc(chunkBytes, "x");
      const startMs = performance.now();
      let returnedBytes = 0;
      for (let bytes = 0; bytes < EVENT_BYTES; bytes += chunkBytes) {
        returnedBytes += framer.push(chunk).length;
      }
      expect(performance.now() - startMs).to.be.below(MAX_BLOCKED_MS);
      expect(returnedBytes).to.equal(0);
      expect(framer.openEventBytes).to.equal(EVENT_BYTES);
    }).timeout(60_000);
  }

  it("returns all bytes up to the last event end, however the stream is split", () => {
    const line = fc.constantFrom("id: 1", "data: x", ":c", "", "é");
    const lineEnd = fc.constantFrom("\n", "\r\n", "\r");
    fc.assert(
      fc.property(
        fc.array(line),
        lineEnd,
        fc.infiniteStream(fc.integer({ min: 1, max: 7 })),
        (lines, end, sizes) => {
          const data = Buffer.from(lines.map((text) => text + end).join(""));
          const split = new SseFramer();
          const received: Buffer[] = [];
          for (let from = 0; from < data.length;) {
            const { value: size } = sizes.next() as IteratorYieldResult<number>;
            received.push(
              Buffer.from(split.push(data.subarray(from, from + size))),
            );
            from += size;
          }
          const returned = Buffer.concat(received);
          if (!split.isOutOfOrder) {
            const rest = split.flush();
            expect(Buffer.concat([returned, rest]).equals(data)).to.equal(true);
            // At most the empty lines behind an event may be kept back.
            expect(lastEventEnd(rest)).to.equal(-1);
            expect(returned.length === 0 || lastEventEnd(returned))
              .to.equal(returned.length || true);
          }
        },
      ),
    );
  });
});
