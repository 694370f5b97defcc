import { readFileSync } from "node:fs";
import process from "node:process";
import { expect } from "chai";
import { describe, it } from "mocha";
import { FAULT_NAMES, type FaultName } from "./support/faults.ts";
import { runHistory } from "./support/history.ts";

/** Seeds run by default; the variable `HISTORIES=FROM-TO` selects others. */
const DEFAULT_RANGE = "1-40";
const TIMEOUT_MS = 60_000;

/**
 * Returns the seeds listed in KNOWN-RED.txt. They run too; if one fails, its
 * violations are printed and the test is skipped.
 */
function readKnownRedSeeds(): Set<number> {
  const text = readFileSync(
    new URL("../../../../KNOWN-RED.txt", import.meta.url),
    "utf8",
  );
  const seeds = text.matchAll(/^history seed (\d+) /gm);
  return new Set([...seeds].map((match) => Number(match[1])));
}

function parseSeedRange(range: string): number[] {
  const [from = 1, to = from] = range.split("-").map(Number);
  return Array.from({ length: to - from + 1 }, (_, index) => from + index);
}

/** Selects two faults for a seed; consecutive seeds go through all pairs. */
function selectFaults(seed: number): FaultName[] {
  const count = FAULT_NAMES.length;
  return [
    FAULT_NAMES[seed % count]!,
    FAULT_NAMES[Math.floor(seed / count) % count]!,
  ];
}

describe("randomised histories with two faults each", () => {
  const knownRed = readKnownRedSeeds();
  const range = process.env["HISTORIES"];
  const seeds = range === undefined
    ? new Set([...parseSeedRange(DEFAULT_RANGE), ...knownRed])
    : new Set(parseSeedRange(range));
  for (const seed of seeds) {
    const faults = selectFaults(seed);
    it(`seed ${seed}: ${faults.join(" and ")}`, async function () {
      const report = await runHistory({ seed, faults });
      if (knownRed.has(seed) && report.violations.length > 0) {
        console.log(`known red, seed ${seed}:`, report.violations);
        this.skip();
      }
      expect(report.violations).to.deep.equal([]);
      const { ok = 0 } = report.outcomes;
      expect(ok, "successful chats").to.be.above(report.chats / 2);
    }).timeout(TIMEOUT_MS);
  }

  it("fails the checks with a baseline policy", async () => {
    const report = await runHistory({
      seed: 1,
      faults: ["endpoint_crash", "endpoint_join"],
      policy: "rendezvous",
    });
    const rules = new Set(report.violations.map(({ rule }) => rule));
    expect(rules).to.include("load within the multiple of the mean");
    expect(rules).to.include("no overload during cold start");
  }).timeout(TIMEOUT_MS);
});
