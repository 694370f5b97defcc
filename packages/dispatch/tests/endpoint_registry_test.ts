import { ManualClock } from "@limpetshed/base";
import { expect } from "chai";
import { describe, it } from "mocha";
import { DeferredRemovals } from "../src/deferred_removals.ts";
import { EndpointRegistry } from "../src/endpoint_registry.ts";
import { entry } from "./fixtures.ts";

function registry() {
  const clock = new ManualClock();
  const dropped: string[] = [];
  const endpoints = new EndpointRegistry({
    clock,
    onRemove: ({ key }, reason) => dropped.push(`${key} ${reason}`),
  });
  const usable = () => endpoints.usable("model").map(({ key }) => key);
  return { clock, endpoints, dropped, usable };
}

describe("EndpointRegistry", () => {
  it("gives no new work to endpoints that leave or whose zone is out", () => {
    const { endpoints, usable } = registry();
    endpoints.put(entry("e1"));
    endpoints.put(entry("e2", { availabilityZone: "b" }));
    endpoints.put(entry("e3", { state: "leaving" }));
    expect(usable()).to.deep.equal(["e1/1", "e2/1"]);
    endpoints.setZoneOut("b", true);
    expect(usable()).to.deep.equal(["e1/1"]);
    expect(endpoints.members("model")).to.have.length(3);
    endpoints.setZoneOut("b", false);
    expect(usable()).to.deep.equal(["e1/1", "e2/1"]);
  });

  it("holds a new start under an old id to be another endpoint", () => {
    const { endpoints, dropped, usable } = registry();
    endpoints.put(entry("e1"));
    endpoints.put(entry("e1", { startedMs: 2 }));
    expect(usable()).to.deep.equal(["e1/2"]);
    expect(dropped).to.deep.equal(["e1/1 restarted"]);
    expect(endpoints.getByKey("e1/1")).to.equal(undefined);
  });

  it("keeps an endpoint cold as long as it says, from each report", async () => {
    const { clock, endpoints } = registry();
    const first = endpoints.put(entry("e1", { coldMs: 3_000 }));
    expect(first.coldUntilMs).to.equal(3_000);
    await clock.advance(1_000);
    const second = endpoints.put(entry("e1", { coldMs: 0 }));
    expect(second.coldUntilMs).to.equal(3_000);
  });
});

describe("Departures", () => {
  function departing(lastOutageEndMs: number) {
    const { clock, endpoints, usable } = registry();
    endpoints.put(entry("e1"));
    const departures = new DeferredRemovals({
      clock,
      registry: endpoints,
      lastOutageEndMs: () => lastOutageEndMs,
      drainMs: 2_000,
    });
    return { clock, endpoints, departures, usable };
  }

  it("gives an endpoint without an entry no work while others can", () => {
    const { endpoints, departures, usable } = departing(
      Number.NEGATIVE_INFINITY,
    );
    endpoints.put(entry("e2"));
    departures.entryRemoved("e1");
    expect(usable()).to.deep.equal(["e2/1"]);
  });

  it("keeps the last ones for as long as they may get requests", async () => {
    const { clock, departures, usable } = departing(Number.NEGATIVE_INFINITY);
    departures.entryRemoved("e1");
    expect(usable()).to.deep.equal(["e1/1"]);
    await clock.advance(1_800);
    expect(usable()).to.deep.equal([]);
  });

  it("waits for endpoints whose entries lapsed in an outage", async () => {
    const { clock, departures, usable } = departing(0);
    departures.entryRemoved("e1");
    await clock.advance(1_900);
    expect(usable()).to.deep.equal(["e1/1"]);
    departures.entryPresent("e1");
    await clock.advance(5_000);
    expect(usable()).to.deep.equal(["e1/1"]);
  });

  it("drops those that did not come back", async () => {
    const { clock, departures, usable } = departing(0);
    departures.entryRemoved("e1");
    await clock.advance(2_000);
    expect(usable()).to.deep.equal([]);
  });
});
