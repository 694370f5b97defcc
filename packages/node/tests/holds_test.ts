import { expect } from "chai";
import { describe, it } from "mocha";
import { TestFleet } from "./support/test_fleet.ts";

describe("calls that are not repeatable", () => {
  let fleet: TestFleet;

  beforeEach(async () => {
    fleet = await TestFleet.ready({ plains: 2 });
  });

  afterEach(async () => {
    await fleet.close();
  });

  it("replays the recorded response through another node", async () => {
    const first = await fleet.settle(
      fleet.postHold("n1", { reference: "h", key: "k", body: "x" }),
    );
    await fleet.run(100);
    const second = await fleet.settle(
      fleet.postHold("n2", { reference: "h", key: "k", body: "x" }),
    );
    expect(second.text).to.equal(first.text);
    expect(second.run).to.equal("replayed");
    expect(fleet.executions("h")).to.equal(1);
  });

  it("rejects a different body with the same idempotency key", async () => {
    await fleet.settle(
      fleet.postHold("n1", { reference: "h", key: "k", body: "x" }),
    );
    const other = await fleet.settle(
      fleet.postHold("n2", { reference: "h", key: "k", body: "y" }),
    );
    expect(other.outcome).to.equal("idempotency_key_reused");
    expect(other.run).to.equal("not-run");
  });

  it("rejects as not-run while the store is down and succeeds later", async () => {
    const { faults } = fleet.node("n1").store;
    faults.down = true;
    const rejected = await fleet.settle(
      fleet.postHold("n1", { reference: "h", key: "k" }),
    );
    expect(rejected.outcome).to.equal("store_unavailable");
    expect(rejected.run).to.equal("not-run");
    expect(fleet.executions("h")).to.equal(0);
    faults.down = false;
    const later = await fleet.settle(
      fleet.postHold("n1", { reference: "h", key: "k" }),
    );
    expect(later.outcome).to.equal("ok");
  });

  it("sends nothing if the claim is written after its read-back", async () => {
    await fleet.settle(
      fleet.postHold("n1", { reference: "lease", key: "lease" }),
    );
    const { faults } = fleet.node("n1").store;
    faults.choose = (call) => call === "write" ? "late_effect" : "none";
    const rejected = await fleet.settle(
      fleet.postHold("n1", { reference: "h", key: "k" }),
    );
    expect(rejected.run).to.equal("not-run");
    faults.choose = () => "none";
    await fleet.run(2_000);
    expect(fleet.executions("h")).to.equal(0);
    const other = await fleet.settle(
      fleet.postHold("n2", { reference: "h", key: "k" }),
    );
    expect(other.outcome).to.equal("ok");
    expect(fleet.node("n2").metrics.value("claim.taken_over")).to.equal(1);
    expect(fleet.executions("h")).to.equal(1);
  });

  it("does not repeat a call whose node crashed after the claim", async () => {
    for (const engine of fleet.endpoints.plainServices.values()) {
      engine.chooseFault = () => "slow";
    }
    const interrupted = fleet.postHold("n1", { reference: "h", key: "k" });
    await fleet.run(100);
    fleet.kill("n1");
    await fleet.settle(interrupted);
    const retried = await fleet.settle(
      fleet.postHold("n2", { reference: "h", key: "k" }),
    );
    expect(retried.outcome).to.equal("outcome_unknown");
    expect(retried.run).to.equal("may-have-run");
    expect(fleet.executions("h")).to.be.at.most(1);
  });

  it("reports an unknown outcome when the service crashes", async () => {
    for (const engine of fleet.endpoints.plainServices.values()) {
      engine.chooseFault = () => "die_after";
    }
    const first = await fleet.settle(
      fleet.postHold("n1", { reference: "h", key: "k" }),
    );
    expect(first.outcome).to.equal("outcome_unknown");
    await fleet.run(1_000);
    const second = await fleet.settle(
      fleet.postHold("n2", { reference: "h", key: "k" }),
    );
    expect(second.outcome).to.equal("outcome_unknown");
    expect(fleet.executions("h")).to.equal(1);
  });

  it("sends a call without a key once and reports its run state", async () => {
    for (const engine of fleet.endpoints.plainServices.values()) {
      engine.chooseFault = () => "die_before";
    }
    const result = await fleet.settle(fleet.postHold("n1", { reference: "h" }));
    expect(result.run).to.equal("may-have-run");
    const received = [...fleet.endpoints.plainServices.values()].reduce(
      (sum, engine) => sum + engine.received,
      0,
    );
    expect(received).to.equal(1);
  });

  it("executes a call at most once if its node pauses", async () => {
    const paused = fleet.node("n1");
    const delayed = fleet.postHold("n1", { reference: "h", key: "k" });
    await fleet.run(1);
    paused.clock.pause();
    await fleet.run(5_000);
    const other = await fleet.settle(
      fleet.postHold("n2", { reference: "h", key: "k" }),
    );
    paused.clock.resume();
    await fleet.settle(delayed);
    expect(fleet.executions("h")).to.be.at.most(1);
    expect(other.outcome).to.be.oneOf(["ok", "outcome_unknown"]);
  });
});
