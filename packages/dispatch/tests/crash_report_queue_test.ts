import { expect } from "chai";
import { describe, it } from "mocha";
import { CrashReportQueue } from "../src/crash_report_queue.ts";

const REPORTS_PER_ROUND = 128;
const CAPACITY = 4_096;

function addReport(
  queue: CrashReportQueue,
  trait: string,
  { crashCount = 1, runMs = 1_000 } = {},
): void {
  queue.add({
    kind: "cleared",
    trait,
    endpoint: "e1",
    crashCount,
    runMs,
    make: () => ({ kind: "cleared", trait, endpoint: "e1" }),
  });
}

function takeTraits(queue: CrashReportQueue): string[] {
  return queue.takeRound().map((make) => make(0).trait);
}

// Reports beyond those of one round were dropped, whatever they said.
describe("CrashReportQueue", () => {
  it("sends first what several crashes have in common, then the shortest runs", () => {
    const queue = new CrashReportQueue();
    for (let index = 0; index < 1_000; index += 1) {
      addReport(queue, `bystander-${index}`);
    }
    addReport(queue, "started last", { runMs: 80 });
    addReport(queue, "crashed two", { crashCount: 2 });
    expect(takeTraits(queue).slice(0, 2)).to.deep.equal([
      "crashed two",
      "started last",
    ]);
  });

  it("keeps for later rounds what exceeds one", () => {
    const queue = new CrashReportQueue();
    for (let index = 0; index < 300; index += 1) {
      addReport(queue, `trait-${index}`);
    }
    const rounds = [1, 2, 3, 4].map(() => takeTraits(queue));
    expect(rounds.map(({ length }) => length)).to.deep.equal([
      REPORTS_PER_ROUND,
      REPORTS_PER_ROUND,
      300 - 2 * REPORTS_PER_ROUND,
      0,
    ]);
    expect(new Set(rounds.flat()).size).to.equal(300);
    expect(queue.takeDropped()).to.equal(0);
  });

  it("drops the least telling reports beyond its capacity and counts them", () => {
    const queue = new CrashReportQueue();
    addReport(queue, "crashed two", { crashCount: 2 });
    for (let index = 0; index < 3 * CAPACITY; index += 1) {
      addReport(queue, `trait-${index}`);
    }
    expect(takeTraits(queue)[0]).to.equal("crashed two");
    expect(queue.takeDropped()).to.equal(2 * CAPACITY + 1);
    expect(queue.takeDropped()).to.equal(0);
  });

  it("replaces a report of the same trait and endpoint", () => {
    const queue = new CrashReportQueue();
    addReport(queue, "trait");
    addReport(queue, "trait", { crashCount: 2 });
    expect(takeTraits(queue)).to.deep.equal(["trait"]);
  });
});
