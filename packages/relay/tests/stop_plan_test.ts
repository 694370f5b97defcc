import { ManualClock } from "@limpetshed/base";
import { expect } from "chai";
import { describe, it } from "mocha";
import { StopPlan } from "../src/stop_plan.ts";

const CHAT = { kind: "stream", timeoutMs: 12_000 } as const;
const CALL = { kind: "unsafe", timeoutMs: 800 } as const;

describe("StopPlan when nodes are stopped in turn under load", () => {
  it("takes everything until the balancer has noticed", async () => {
    const clock = new ManualClock();
    const plan = new StopPlan({ clock });
    expect(plan.takes(CHAT)).to.equal(true);
    plan.begin(8_000);
    await clock.advance(2_800);
    expect(plan.takes(CHAT)).to.equal(true);
  });

  it("then refuses chats that would be cut off, and serves calls", async () => {
    const clock = new ManualClock();
    const plan = new StopPlan({ clock });
    plan.begin(8_000);
    await clock.advance(3_000);
    expect(plan.takes(CHAT)).to.equal(false);
    expect(plan.takes(CALL)).to.equal(true);
    await clock.advance(4_000);
    expect(plan.takes(CALL)).to.equal(false);
    expect(plan.leftMs).to.be.at.most(600);
  });
});
