import { initHashing } from "@limpetshed/hashing";
import { expect } from "chai";
import { before, describe, it } from "mocha";
import {
  type CrashSimulationOptions,
  simulateCrashes,
} from "./support/crash_simulation.ts";

const SEEDS = [5, 7] as const;
const MAX_CRASHES = 8;
const MAX_LATE_SENDS = 3;
const MAX_REFUSED_FRACTION = 0.01;
const TEST_TIMEOUT_MS = 120_000;

// An endpoint that crashes while full loses 128 requests with all their parts, more
// than the bounds on evidence: the part or request that crashed it was forgotten.
describe("CrashSuspects given endpoints that crash while full", () => {
  before(initHashing);

  const cases: [string, Partial<CrashSimulationOptions>][] = [
    ["", {}],
    [" while datagrams get lost", { datagramLoss: 0.3 }],
    [" while nodes restart and datagrams get lost", {
      restartIntervalMs: 3_000,
      datagramLoss: 0.3,
    }],
    [" while one node has most of the requests and datagrams get lost", {
      firstNodeShare: 0.8,
      datagramLoss: 0.3,
    }],
    [" while endpoints lose power", { powerCutIntervalMs: 6_000 }],
  ];
  for (const kind of ["part", "request"] as const) {
    for (const [circumstance, options] of cases) {
      for (const seed of SEEDS) {
        it(`bounds the crashes by one ${kind}${circumstance}, seed ${seed}`, async () => {
          const { crashes, lateSends, refused, sound } = await simulateCrashes({
            kind,
            seed,
            ...options,
          });
          expect(crashes, "crashes").to.be.within(1, MAX_CRASHES);
          expect(lateSends, "late sends").to.be.at.most(MAX_LATE_SENDS);
          expect(refused / sound, "refused").to.be.below(MAX_REFUSED_FRACTION);
        }).timeout(TEST_TIMEOUT_MS);
      }
    }
  }
});
