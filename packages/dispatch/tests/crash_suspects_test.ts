import { ManualClock } from "@limpetshed/base";
import { initHashing } from "@limpetshed/hashing";
import { expect } from "chai";
import { before, describe, it } from "mocha";
import { CrashSuspects } from "../src/crash_suspects.ts";

function setUp() {
  const clock = new ManualClock();
  const suspects = new CrashSuspects({ clock });
  const lose = (fingerprint: string, endpoint: string) =>
    suspects.recordLostResponse({
      traits: [fingerprint],
      endpoint,
      sentMs: clock.monotonicMs(),
    });
  const crash = (fingerprint: string, endpoint: string) => {
    lose(fingerprint, endpoint);
    suspects.recordEndpointDown(endpoint);
  };
  const waitMs = (fingerprint: string) => {
    const verdict = suspects.verdict([fingerprint]);
    return verdict.outcome === "refused" ? verdict.waitMs : 0;
  };
  return { clock, suspects, lose, crash, waitMs };
}

describe("CrashSuspects given repeats of one request", () => {
  before(initHashing);

  it("refuses a request that crashed two endpoints", () => {
    const { crash, waitMs } = setUp();
    crash("bad", "e1");
    expect(waitMs("bad")).to.equal(0);
    crash("bad", "e2");
    expect(waitMs("bad")).to.be.above(0);
    expect(waitMs("other")).to.equal(0);
  });

  it("counts each endpoint once", () => {
    const { crash, waitMs } = setUp();
    crash("bad", "e1");
    crash("bad", "e1");
    expect(waitMs("bad")).to.equal(0);
  });

  it("ignores lost responses of endpoints that stay up", async () => {
    const { clock, suspects, lose, waitMs } = setUp();
    for (const endpoint of ["e1", "e2", "e3"]) {
      lose("popular", endpoint);
    }
    await clock.advance(3_001);
    ["e1", "e2", "e3"].forEach((key) => suspects.recordEndpointDown(key));
    expect(waitMs("popular")).to.equal(0);
  });

  it("counts a response that is lost after its endpoint was found down", async () => {
    const { clock, suspects, crash, lose, waitMs } = setUp();
    crash("bad", "e1");
    suspects.recordEndpointDown("e2");
    await clock.advance(50);
    lose("bad", "e2");
    expect(waitMs("bad")).to.be.above(0);
  });

  it("clears a request that only ran concurrently with a crashing one", () => {
    const { suspects, lose, waitMs } = setUp();
    for (const endpoint of ["e1", "e2", "e3"]) {
      for (const fingerprint of ["bad", "bystander"]) {
        lose(fingerprint, endpoint);
      }
      suspects.recordEndpointDown(endpoint);
      suspects.recordCompleted("s", ["bystander"]);
    }
    expect(waitMs("bystander")).to.equal(0);
    expect(waitMs("bad")).to.be.above(0);
  });

  it("counts crashes reported by other nodes", () => {
    const local = setUp();
    const remote = setUp();
    local.crash("bad", "e1");
    remote.crash("bad", "e2");
    const reports = remote.suspects.takeReports()();
    local.suspects.applyPeerReports(reports);
    local.suspects.applyPeerReports(reports);
    expect(local.waitMs("bad")).to.be.above(0);
    expect(remote.suspects.takeReports()()).to.deep.equal([]);
  });

  it("refuses for a minute, then allows one at a time", async () => {
    const { clock, suspects, crash, waitMs } = setUp();
    crash("bad", "e1");
    crash("bad", "e2");
    await clock.advance(59_999);
    expect(waitMs("bad")).to.be.above(0);
    await clock.advance(1);
    expect(waitMs("bad")).to.equal(0);
    suspects.begin(["bad"]);
    expect(waitMs("bad")).to.be.above(0);
    suspects.end(["bad"]);
    crash("bad", "e3");
    expect(waitMs("bad")).to.be.above(60_000);
  });

  it("forgets crashes a minute after the refusal has ended", async () => {
    const { clock, suspects, crash, waitMs } = setUp();
    crash("bad", "e1");
    crash("bad", "e2");
    await clock.advance(120_000);
    suspects.takeReports();
    expect(waitMs("bad")).to.equal(0);
    expect(suspects.hasCrashes).to.equal(false);
  });
});
