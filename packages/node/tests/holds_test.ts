import { expect } from "chai";
import { describe, it } from "mocha";
import { TestFleet } from "./support/test_fleet.ts";

describe("calls that may not be repeated", () => {
  let fleet: TestFleet;

  beforeEach(async () => {
    fleet = await TestFleet.ready({ plains: 2 });
  });

  afterEach(async () => {
    await fleet.close();
  });

  it("replays the recorded answer through another node", async () => {
    const first = await fleet.settle(
      fleet.hold("n1", { reference: "h", key: "k", body: "x" }),
    );
    await fleet.run(100);
    const second = await fleet.settle(
      fleet.hold("n2", { reference: "h", key: "k", body: "x" }),
    );
    expect(second.text).to.equal(first.text);
    expect(second.run).to.equal("replayed");
    expect(fleet.executions("h")).to.equal(1);
  });

  it("refuses another body under the same key", async () => {
    await fleet.settle(
      fleet.hold("n1", { reference: "h", key: "k", body: "x" }),
    );
    const other = await fleet.settle(
      fleet.hold("n2", { reference: "h", key: "k", body: "y" }),
    );
    expect(other.outcome).to.equal("idempotency_key_reused");
    expect(other.run).to.equal("not-run");
  });

  it("refuses as not run while the store is down, and runs later", async () => {
    const { faults } = fleet.node("n1").store;
    faults.down = true;
    const refused = await fleet.settle(
      fleet.hold("n1", { reference: "h", key: "k" }),
    );
    expect(refused.outcome).to.equal("store_unavailable");
    expect(refused.run).to.equal("not-run");
    expect(fleet.executions("h")).to.equal(0);
    faults.down = false;
    const later = await fleet.settle(
      fleet.hold("n1", { reference: "h", key: "k" }),
    );
    expect(later.outcome).to.equal("ok");
  });

  it("sends nothing when a claim takes effect after the read-back", async () => {
    await fleet.settle(fleet.hold("n1", { reference: "lease", key: "lease" }));
    const { faults } = fleet.node("n1").store;
    faults.choose = (call) => call === "write" ? "late_effect" : "none";
    const refused = await fleet.settle(
      fleet.hold("n1", { reference: "h", key: "k" }),
    );
    expect(refused.run).to.equal("not-run");
    faults.choose = () => "none";
    await fleet.run(2_000);
    expect(fleet.executions("h")).to.equal(0);
    const other = await fleet.settle(
      fleet.hold("n2", { reference: "h", key: "k" }),
    );
    expect(other.outcome).to.equal("ok");
    expect(fleet.node("n2").metrics.value("claim.taken_over")).to.equal(1);
    expect(fleet.executions("h")).to.equal(1);
  });

  it("never runs again a call whose node vanished after the claim", async () => {
    for (const engine of fleet.endpoints.plainServices.values()) {
      engine.chooseFault = () => "slow";
    }
    const cut = fleet.hold("n1", { reference: "h", key: "k" });
    await fleet.run(100);
    fleet.kill("n1");
    await fleet.settle(cut);
    const again = await fleet.settle(
      fleet.hold("n2", { reference: "h", key: "k" }),
    );
    expect(again.outcome).to.equal("outcome_unknown");
    expect(again.run).to.equal("may-have-run");
    expect(fleet.executions("h")).to.be.at.most(1);
  });

  it("says that the outcome is unknown when the service dies", async () => {
    for (const engine of fleet.endpoints.plainServices.values()) {
      engine.chooseFault = () => "die_after";
    }
    const first = await fleet.settle(
      fleet.hold("n1", { reference: "h", key: "k" }),
    );
    expect(first.outcome).to.equal("outcome_unknown");
    await fleet.run(1_000);
    const second = await fleet.settle(
      fleet.hold("n2", { reference: "h", key: "k" }),
    );
    expect(second.outcome).to.equal("outcome_unknown");
    expect(fleet.executions("h")).to.equal(1);
  });

  it("sends a call without a key once, and tells whether it ran", async () => {
    for (const engine of fleet.endpoints.plainServices.values()) {
      engine.chooseFault = () => "die_before";
    }
    const answer = await fleet.settle(fleet.hold("n1", { reference: "h" }));
    expect(answer.run).to.equal("may-have-run");
    const received = [...fleet.endpoints.plainServices.values()].reduce(
      (sum, engine) => sum + engine.received,
      0,
    );
    expect(received).to.equal(1);
  });

  it("keeps a paused node from running what another was refused", async () => {
    const paused = fleet.node("n1");
    const slow = fleet.hold("n1", { reference: "h", key: "k" });
    await fleet.run(1);
    paused.clock.pause();
    await fleet.run(5_000);
    const other = await fleet.settle(
      fleet.hold("n2", { reference: "h", key: "k" }),
    );
    paused.clock.resume();
    await fleet.settle(slow);
    expect(fleet.executions("h")).to.be.at.most(1);
    expect(other.outcome).to.be.oneOf(["ok", "outcome_unknown"]);
  });
});
