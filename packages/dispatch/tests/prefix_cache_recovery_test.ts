import { ManualClock } from "@limpetshed/base";
import { expect } from "chai";
import { describe, it } from "mocha";
import { type Endpoint, EndpointRegistry } from "../src/endpoint_registry.ts";
import { recoverPrefixCache } from "../src/prefix_cache_recovery.ts";
import {
  type CachedPart,
  PrefixCacheIndex,
} from "../src/prefix_cache_index.ts";
import { entry } from "./fixtures.ts";

function setUp() {
  const clock = new ManualClock();
  const registry = new EndpointRegistry({ clock });
  const endpoints = ["e1", "e2"].map((id) => registry.put(entry(id)));
  const holders = new PrefixCacheIndex({ clock });
  const { signal } = new AbortController();
  const asked: string[] = [];
  const options = {
    clock,
    cacheIndex: holders,
    signal,
    assignedEndpoints: () => endpoints,
    fetchPartIds: (endpoint: Endpoint) => {
      asked.push(endpoint.key);
      return endpoint.entry.id === "e1"
        ? Promise.resolve(["t1", "t2"])
        : Promise.reject(new Error("away"));
    },
  };
  return { clock, holders, asked, options };
}

describe("recoverHolders when nodes restart", () => {
  it("takes what another node knows, and asks no endpoint", async () => {
    const { holders, asked, options } = setUp();
    const held: CachedPart[] = [{ partId: "t9", endpoint: "e2/1" }];
    const recovery = await recoverPrefixCache({
      ...options,
      fetchFromPeer: () => Promise.resolve(held),
    });
    expect(recovery.source).to.equal("peer");
    expect([...holders.endpointsHolding("t9")]).to.deep.equal(["e2/1"]);
    expect(asked).to.deep.equal([]);
  });

  it("reads the endpoints' lists when all nodes restarted, and tells", async () => {
    const { clock, holders, options } = setUp();
    const recovering = recoverPrefixCache({
      ...options,
      fetchFromPeer: () => Promise.reject(new Error("nobody there")),
    });
    await clock.advance(1_000);
    expect(await recovering).to.deep.equal({
      source: "endpoints",
      parts: 2,
      failed: 1,
    });
    expect([...holders.endpointsHolding("t1")]).to.deep.equal(["e1/1"]);
    expect(holders.takeUpdates().map(({ partId }) => partId)).to.deep.equal([
      "t1",
      "t2",
    ]);
  });

  it("does not rely on a node that has just started itself", async () => {
    const { asked, options } = setUp();
    const { source } = await recoverPrefixCache({
      ...options,
      fetchFromPeer: () => Promise.resolve([]),
    });
    expect(source).to.equal("endpoints");
    expect(asked).to.deep.equal(["e1/1", "e2/1"]);
  });

  it("gives what was used last first", () => {
    const { holders } = setUp();
    holders.applyPeerUpdates([{ partId: "t1", endpoint: "e1" }]);
    holders.applyPeerUpdates([{ partId: "t2", endpoint: "e1" }]);
    expect(holders.snapshot().map(({ partId }) => partId)).to.deep.equal([
      "t2",
      "t1",
    ]);
  });
});
