import { ManualClock } from "@limpetshed/base";
import { expect } from "chai";
import { describe, it } from "mocha";
import { CrashSuspects } from "../src/crash_suspects.ts";

function setUp() {
  const clock = new ManualClock();
  const suspects = new CrashSuspects({ clock });
  const crash = (fingerprint: string, endpoint: string) => {
    suspects.recordLostResponse({ fingerprint, endpoint });
    suspects.recordEndpointDown(endpoint);
  };
  return { clock, suspects, crash };
}

describe("CrashSuspects", () => {
  it("refuses a request that crashed two endpoints", () => {
    const { suspects, crash } = setUp();
    crash("bad", "e1");
    expect(suspects.refusalRemainingMs("bad")).to.equal(0);
    crash("bad", "e2");
    expect(suspects.refusalRemainingMs("bad")).to.be.above(0);
    expect(suspects.refusalRemainingMs("other")).to.equal(0);
  });

  it("counts each endpoint once", () => {
    const { suspects, crash } = setUp();
    crash("bad", "e1");
    crash("bad", "e1");
    expect(suspects.refusalRemainingMs("bad")).to.equal(0);
  });

  it("ignores lost responses of endpoints that stay up", async () => {
    const { clock, suspects } = setUp();
    for (const endpoint of ["e1", "e2", "e3"]) {
      suspects.recordLostResponse({ fingerprint: "popular", endpoint });
    }
    await clock.advance(3_001);
    ["e1", "e2", "e3"].forEach((key) => suspects.recordEndpointDown(key));
    expect(suspects.refusalRemainingMs("popular")).to.equal(0);
  });

  it("clears a request that only ran concurrently with a crashing one", () => {
    const { suspects } = setUp();
    for (const endpoint of ["e1", "e2", "e3"]) {
      for (const fingerprint of ["bad", "bystander"]) {
        suspects.recordLostResponse({ fingerprint, endpoint });
      }
      suspects.recordEndpointDown(endpoint);
      suspects.recordCompleted("bystander");
    }
    expect(suspects.refusalRemainingMs("bystander")).to.equal(0);
    expect(suspects.refusalRemainingMs("bad")).to.be.above(0);
  });

  it("counts crashes reported by other nodes", () => {
    const local = setUp();
    const remote = setUp();
    local.crash("bad", "e1");
    remote.crash("bad", "e2");
    const reports = remote.suspects.takeReports();
    local.suspects.applyPeerReports(reports);
    local.suspects.applyPeerReports(reports);
    expect(local.suspects.refusalRemainingMs("bad")).to.be.above(0);
    expect(remote.suspects.takeReports()).to.deep.equal([]);
  });

  it("expires crashes after a minute", async () => {
    const { clock, suspects, crash } = setUp();
    crash("bad", "e1");
    crash("bad", "e2");
    await clock.advance(60_000);
    expect(suspects.refusalRemainingMs("bad")).to.equal(0);
    expect(suspects.hasCrashes).to.equal(false);
  });
});
