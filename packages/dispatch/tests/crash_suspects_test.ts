import { ManualClock } from "@limpetshed/base";
import { expect } from "chai";
import { describe, it } from "mocha";
import { CrashSuspects } from "../src/crash_suspects.ts";

function make() {
  const clock = new ManualClock();
  const suspects = new CrashSuspects({ clock });
  const crash = (fingerprint: string, endpoint: string) => {
    suspects.lost({ fingerprint, endpoint });
    suspects.endpointDown(endpoint);
  };
  return { clock, suspects, crash };
}

describe("CrashSuspects", () => {
  it("refuses a request that brought two endpoints down", () => {
    const { suspects, crash } = make();
    crash("bad", "e1");
    expect(suspects.refusalRemainingMs("bad")).to.equal(0);
    crash("bad", "e2");
    expect(suspects.refusalRemainingMs("bad")).to.be.above(0);
    expect(suspects.refusalRemainingMs("other")).to.equal(0);
  });

  it("counts an endpoint once", () => {
    const { suspects, crash } = make();
    crash("bad", "e1");
    crash("bad", "e1");
    expect(suspects.refusalRemainingMs("bad")).to.equal(0);
  });

  it("blames nothing for answers lost by endpoints that stay up", async () => {
    const { clock, suspects } = make();
    for (const endpoint of ["e1", "e2", "e3"]) {
      suspects.lost({ fingerprint: "popular", endpoint });
    }
    await clock.advance(3_001);
    ["e1", "e2", "e3"].forEach((key) => suspects.endpointDown(key));
    expect(suspects.refusalRemainingMs("popular")).to.equal(0);
  });

  it("clears what ran beside a request that crashes each endpoint", () => {
    const { suspects } = make();
    for (const endpoint of ["e1", "e2", "e3"]) {
      for (const fingerprint of ["bad", "bystander"]) {
        suspects.lost({ fingerprint, endpoint });
      }
      suspects.endpointDown(endpoint);
      suspects.completed("bystander");
    }
    expect(suspects.refusalRemainingMs("bystander")).to.equal(0);
    expect(suspects.refusalRemainingMs("bad")).to.be.above(0);
  });

  it("refuses what other nodes saw crash endpoints", () => {
    const here = make();
    const there = make();
    here.crash("bad", "e1");
    there.crash("bad", "e2");
    const news = there.suspects.takeReports();
    here.suspects.applyPeerReports(news);
    here.suspects.applyPeerReports(news);
    expect(here.suspects.refusalRemainingMs("bad")).to.be.above(0);
    expect(there.suspects.takeReports()).to.deep.equal([]);
  });

  it("forgets after a minute", async () => {
    const { clock, suspects, crash } = make();
    crash("bad", "e1");
    crash("bad", "e2");
    await clock.advance(60_000);
    expect(suspects.refusalRemainingMs("bad")).to.equal(0);
    expect(suspects.hasCrashes).to.equal(false);
  });
});
