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
  const cacheIndex = new PrefixCacheIndex({ clock });
  const { signal } = new AbortController();
  const queriedKeys: string[] = [];
  const failedKeys: string[] = [];
  const options = {
    clock,
    cacheIndex,
    signal,
    assignedEndpoints: () => endpoints,
    fetchPartIds: (endpoint: Endpoint) => {
      queriedKeys.push(endpoint.key);
      return endpoint.entry.id === "e1"
        ? Promise.resolve(["t1", "t2"])
        : Promise.reject(new Error("unreachable"));
    },
    onEndpointFailed: ({ key }: Endpoint) => failedKeys.push(key),
  };
  return { clock, cacheIndex, queriedKeys, failedKeys, options };
}

describe("recoverPrefixCache when nodes restart", () => {
  it("uses another node's entries without querying endpoints", async () => {
    const { cacheIndex, queriedKeys, options } = setUp();
    const cachedParts: CachedPart[] = [{ partId: "t9", endpoint: "e2/1" }];
    const recovery = await recoverPrefixCache({
      ...options,
      fetchFromPeer: () => Promise.resolve(cachedParts),
    });
    expect(recovery.source).to.equal("peer");
    expect([...cacheIndex.endpointsCaching("t9")]).to.deep.equal(["e2/1"]);
    expect(queriedKeys).to.deep.equal([]);
  });

  it("queries endpoints and sends updates if no node responds", async () => {
    const { clock, cacheIndex, failedKeys, options } = setUp();
    const recovering = recoverPrefixCache({
      ...options,
      fetchFromPeer: () => Promise.reject(new Error("no node responds")),
    });
    await clock.advance(1_000);
    expect(await recovering).to.deep.equal({
      source: "endpoints",
      parts: 2,
      failed: 1,
    });
    expect(failedKeys).to.deep.equal(["e2/1"]);
    expect([...cacheIndex.endpointsCaching("t1")]).to.deep.equal(["e1/1"]);
    expect(cacheIndex.takeUpdates().map(({ partId }) => partId)).to.deep.equal([
      "t1",
      "t2",
    ]);
  });

  it("queries endpoints if the other node has no entries", async () => {
    const { queriedKeys, options } = setUp();
    const { source } = await recoverPrefixCache({
      ...options,
      fetchFromPeer: () => Promise.resolve([]),
    });
    expect(source).to.equal("endpoints");
    expect(queriedKeys).to.deep.equal(["e1/1", "e2/1"]);
  });

  it("starts a snapshot with the most recently used parts", () => {
    const { cacheIndex } = setUp();
    cacheIndex.applyPeerUpdates([{ partId: "t1", endpoint: "e1" }]);
    cacheIndex.applyPeerUpdates([{ partId: "t2", endpoint: "e1" }]);
    expect(cacheIndex.snapshot().map(({ partId }) => partId)).to.deep.equal([
      "t2",
      "t1",
    ]);
  });
});
