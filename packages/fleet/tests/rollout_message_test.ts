import { Buffer } from "node:buffer";
import { expect } from "chai";
import { describe, it } from "mocha";
import { decodeLeavingMessage } from "../src/leaving_message.ts";
import { decodeLimitMessage } from "../src/limit_message.ts";
import { decodeLoadMessage } from "../src/load_message.ts";
import {
  decodeRolloutMessage,
  encodeRolloutMessage,
  type RolloutReportEntry,
} from "../src/rollout_message.ts";
import { decodeStreamMessage } from "../src/stream_message.ts";

function makeReport(cells: number): RolloutReportEntry {
  return {
    service: "s",
    order: 17,
    source: "n1/start",
    sequence: 3,
    isSwitched: false,
    otherInFlight: 2,
    isBad: true,
    ageMs: 1_200,
    cells: Array.from({ length: cells }, (_, index) => ({
      route: `r${index}`,
      group: index - 1,
      answered: 9,
      failed: 2,
      buckets: [0, 0, 0, 4, 3],
    })),
  };
}

describe("rollout messages", () => {
  it("carry a report in as many datagrams as it takes", () => {
    for (const cells of [0, 1, 20]) {
      const report = makeReport(cells);
      const datagrams = encodeRolloutMessage(report, { isDirect: true });
      expect(Math.max(...datagrams.map(({ length }) => length))).to.be.below(
        1_200,
      );
      const decoded = datagrams.map((data) => decodeRolloutMessage(data)!);
      expect(decoded.every(({ isDirect }) => isDirect)).to.equal(true);
      expect({
        ...decoded[0]!.report,
        cells: decoded.flatMap(({ report }) => report.cells),
      }).to.deep.equal(report);
    }
  });

  it("are ignored by those who read other messages, and the reverse", () => {
    const [data] = encodeRolloutMessage(makeReport(1), { isDirect: false });
    expect(decodeLoadMessage(data!)).to.equal(undefined);
    expect(decodeLimitMessage(data!)).to.equal(undefined);
    expect(decodeLeavingMessage(data!)).to.equal(undefined);
    expect(decodeStreamMessage(data!)).to.equal(undefined);
    for (const text of ["", "7", "[3,[]]", "[4]", "[4,1,2,3]"]) {
      expect(decodeRolloutMessage(Buffer.from(text))).to.equal(undefined);
    }
  });

  it("lose cells that can't be read", () => {
    const header = [4, 1, "s", 17, "n1/start", 3, 0, 2, 1, 1_200];
    const cells = [["r", 0, 1, 2, 0], ["r", 0, 1, -1], ["r"], 5, [
      "r",
      0,
      1,
      0,
      70,
      1,
    ]];
    const decoded = decodeRolloutMessage(
      Buffer.from(JSON.stringify([...header, cells])),
    );
    expect(decoded!.report.cells).to.deep.equal([]);
  });
});
