import { expect } from "chai";
import fc from "fast-check";
import { describe, it } from "mocha";
import { coldStartLimit, loadLimit } from "../src/endpoint_limit.ts";

const MAX_IN_FLIGHT = 1_000;

describe("loadLimit", () => {
  it("always admits the next request on at least one endpoint", () => {
    fc.assert(
      fc.property(
        fc.double({ min: 1, max: 4, noNaN: true }),
        fc.integer({ min: 0, max: 500 }),
        fc.integer({ min: 1, max: 50 }),
        (loadMultiple, totalInFlight, endpoints) => {
          const limit = loadLimit({
            loadMultiple,
            totalInFlight,
            endpoints,
            maxInFlight: MAX_IN_FLIGHT,
          });
          expect(limit * endpoints).to.be.at.least(totalInFlight + 1);
        },
      ),
      { seed: 6, numRuns: 500 },
    );
  });

  it("never exceeds max(1, loadMultiple * mean) for multiples from 2", () => {
    fc.assert(
      fc.property(
        fc.double({ min: 2, max: 4, noNaN: true }),
        fc.integer({ min: 0, max: 500 }),
        fc.integer({ min: 1, max: 50 }),
        (loadMultiple, totalInFlight, endpoints) => {
          const mean = (totalInFlight + 1) / endpoints;
          const limit = loadLimit({
            loadMultiple,
            totalInFlight,
            endpoints,
            maxInFlight: MAX_IN_FLIGHT,
          });
          expect(limit).to.be.at.most(Math.max(1, loadMultiple * mean));
        },
      ),
      { seed: 7, numRuns: 500 },
    );
  });

  it("grows only with completed requests during cold start", () => {
    const coldStart = { initialLimit: 2, completedPerStep: 4 };
    const limits = [0, 3, 4, 8].map((completed) =>
      coldStartLimit(coldStart, completed)
    );
    expect(limits).to.deep.equal([2, 2, 3, 4]);
  });
});
