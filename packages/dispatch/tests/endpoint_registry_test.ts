import { ManualClock } from "@limpetshed/base";
import { expect } from "chai";
import { describe, it } from "mocha";
import { DeferredRemovals } from "../src/deferred_removals.ts";
import { EndpointRegistry } from "../src/endpoint_registry.ts";
import { entry } from "./fixtures.ts";

function setUp() {
  const clock = new ManualClock();
  const removed: string[] = [];
  const registry = new EndpointRegistry({
    clock,
    onRemove: ({ key }, reason) => removed.push(`${key} ${reason}`),
  });
  const usable = () => registry.usable("model").map(({ key }) => key);
  return { clock, registry, removed, usable };
}

describe("EndpointRegistry", () => {
  it("excludes leaving endpoints and those in a zone out of service", () => {
    const { registry, usable } = setUp();
    registry.put(entry("e1"));
    registry.put(entry("e2", { availabilityZone: "b" }));
    registry.put(entry("e3", { state: "leaving" }));
    expect(usable()).to.deep.equal(["e1/1", "e2/1"]);
    registry.setZoneOut("b", true);
    expect(usable()).to.deep.equal(["e1/1"]);
    expect(registry.serviceEndpoints("model")).to.have.length(3);
    registry.setZoneOut("b", false);
    expect(usable()).to.deep.equal(["e1/1", "e2/1"]);
  });

  it("treats a restart under the same id as another endpoint", () => {
    const { registry, removed, usable } = setUp();
    registry.put(entry("e1"));
    registry.put(entry("e1", { startedMs: 2 }));
    expect(usable()).to.deep.equal(["e1/2"]);
    expect(removed).to.deep.equal(["e1/1 restarted"]);
    expect(registry.getByKey("e1/1")).to.equal(undefined);
  });

  it("keeps an endpoint cold until the latest reported time", async () => {
    const { clock, registry } = setUp();
    const first = registry.put(entry("e1", { coldMs: 3_000 }));
    expect(first.coldUntilMs).to.equal(3_000);
    await clock.advance(1_000);
    const second = registry.put(entry("e1", { coldMs: 0 }));
    expect(second.coldUntilMs).to.equal(3_000);
  });
});

describe("DeferredRemovals", () => {
  function setUpRemovals(lastOutageEndMs: number) {
    const { clock, registry, usable } = setUp();
    registry.put(entry("e1"));
    const removals = new DeferredRemovals({
      clock,
      registry,
      lastOutageEndMs: () => lastOutageEndMs,
      drainMs: 2_000,
    });
    return { clock, registry, removals, usable };
  }

  it("avoids an endpoint without an entry while others are usable", () => {
    const { registry, removals, usable } = setUpRemovals(
      Number.NEGATIVE_INFINITY,
    );
    registry.put(entry("e2"));
    removals.entryRemoved("e1", { maxAgeMs: 0 });
    expect(usable()).to.deep.equal(["e2/1"]);
  });

  // A node that learnt late of a removal used the endpoint after its drain time.
  it("counts the drain time from the removal of the entry", async () => {
    const { clock, removals, usable } = setUpRemovals(Number.NEGATIVE_INFINITY);
    removals.entryRemoved("e1", { maxAgeMs: 1_200 });
    await clock.advance(599);
    expect(usable()).to.deep.equal(["e1/1"]);
    await clock.advance(1);
    expect(usable()).to.deep.equal([]);
  });

  // Entries lapse in an outage of the store, also for nodes that learn of its end
  // from their peers.
  it("waits for a new registration if its state was out of date", async () => {
    const { clock, registry, removals, usable } = setUpRemovals(
      Number.NEGATIVE_INFINITY,
    );
    removals.entryRemoved("e1", { maxAgeMs: 6_000 });
    await clock.advance(1_999);
    expect(usable()).to.deep.equal(["e1/1"]);
    registry.put(entry("e1"));
    removals.entryPresent("e1");
    await clock.advance(5_000);
    expect(usable()).to.deep.equal(["e1/1"]);
  });

  it("keeps the last endpoints usable while they drain", async () => {
    const { clock, removals, usable } = setUpRemovals(Number.NEGATIVE_INFINITY);
    removals.entryRemoved("e1", { maxAgeMs: 0 });
    expect(usable()).to.deep.equal(["e1/1"]);
    await clock.advance(1_800);
    expect(usable()).to.deep.equal([]);
  });

  it("waits for endpoints whose entries expired in an outage", async () => {
    const { clock, removals, usable } = setUpRemovals(0);
    removals.entryRemoved("e1", { maxAgeMs: 0 });
    await clock.advance(1_900);
    expect(usable()).to.deep.equal(["e1/1"]);
    removals.entryPresent("e1");
    await clock.advance(5_000);
    expect(usable()).to.deep.equal(["e1/1"]);
  });

  it("removes endpoints that do not return after an outage", async () => {
    const { clock, removals, usable } = setUpRemovals(0);
    removals.entryRemoved("e1", { maxAgeMs: 0 });
    await clock.advance(2_000);
    expect(usable()).to.deep.equal([]);
  });
});
