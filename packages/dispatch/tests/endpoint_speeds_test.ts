import { ManualClock } from "@limpetshed/base";
import { expect } from "chai";
import { describe, it } from "mocha";
import { EndpointSpeeds } from "../src/endpoint_speeds.ts";

/** Reports figures one after the other. */
async function report(figures: number[], intervalMs: number) {
  const clock = new ManualClock();
  const speeds = new EndpointSpeeds({ clock });
  for (const figure of figures) {
    await clock.advance(intervalMs);
    speeds.record("e1", figure);
  }
  return { clock, speeds };
}

describe("EndpointSpeeds", () => {
  const cases: [string, number[], number][] = [
    ["one disturbed report", [2.5], 1],
    ["two disturbed reports of five", [1, 2.5, 1, 2.5, 1], 1],
    ["a VM of another speed", [1.3, 1.3, 1.3, 1.3, 1.3], 1.3],
    ["such a VM that is disturbed", [1.3, 3.25, 1.3, 1.3, 3.25], 1.3],
    ["an endpoint that turned slow", [1, 1, 1, 4, 4, 4, 4], 4],
    ["one that is fast again", [4, 4, 4, 4, 1, 1], 1],
    ["a fast VM", [0.7, 0.7, 0.7, 0.7], 0.7],
    ["figures beyond belief", [1e9, 1e9, 1e9], 20],
  ];
  for (const [name, figures, lasting] of cases) {
    it(`estimates what lasts of ${name}`, async () => {
      const { speeds } = await report(figures, 700);
      expect(speeds.lasting.get("e1")).to.equal(lasting);
    });
  }

  it("counts reports of one moment once", async () => {
    const { speeds } = await report(Array<number>(20).fill(2.5), 10);
    expect(speeds.estimate("e1")!.lasting).to.equal(1);
  });

  it("lets the last report fade to what lasts", async () => {
    const { clock, speeds } = await report([1, 1, 1, 2.5], 700);
    const { now, ageMs } = speeds.estimate("e1")!;
    expect([now > 1.5, ageMs]).to.deep.equal([true, 0]);
    await clock.advance(600);
    const faded = speeds.estimate("e1")!;
    expect(faded.now).to.be.within(1, 1.05);
    expect(faded.ageMs).to.equal(600);
  });

  it("forgets what is old, removed or malformed", async () => {
    const { clock, speeds } = await report([4, 4, 4], 700);
    await clock.advance(20_001);
    expect(speeds.estimate("e1")).to.equal(undefined);
    speeds.record("e2", Number.NaN);
    speeds.record("e2", -1);
    expect(speeds.estimate("e2")).to.equal(undefined);
    speeds.record("e3", 1);
    speeds.forget("e3");
    expect(speeds.estimate("e3")).to.equal(undefined);
  });

  it("passes on what endpoints told this node, with its age", async () => {
    const { clock, speeds } = await report([4], 700);
    const make = speeds.takeReports();
    await clock.advance(300);
    speeds.applyPeerReports([{ endpoint: "e2", slowness: 2, ageMs: 1_000 }]);
    expect(make()).to.deep.equal([
      { endpoint: "e1", slowness: 4, ageMs: 300 },
    ]);
    expect(speeds.takeReports()()).to.deep.equal([]);
    expect(speeds.estimate("e2")!.ageMs).to.equal(1_000);
  });
});
