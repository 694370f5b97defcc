import { SystemClock } from "@limpetshed/base";
import { expect } from "chai";
import { LRUCache } from "lru-cache";
import { boundedEntries } from "../src/bounded_entries.ts";
import { StreamOrigins } from "../src/stream_origins.ts";

const MANY_ENTRIES = 4_000_000;
const MAX_EMPTY_BYTES = 1_000_000;

/** Bytes in use on the heap and in array buffers. */
function usedBytes(): number {
  const { heapUsed, arrayBuffers } = process.memoryUsage();
  return heapUsed + arrayBuffers;
}

describe("an LRU cache with bounded entries", () => {
  it("evicts the least recently used entry beyond the bound", () => {
    const cache = new LRUCache<string, number>(boundedEntries(2));
    cache.set("a", 1).set("b", 2).get("a");
    cache.set("c", 3);
    expect([...cache.keys()]).to.deep.equal(["c", "a"]);
  });

  it("takes no memory for entries that it does not hold", () => {
    const before = usedBytes();
    const origins = new StreamOrigins({
      clock: new SystemClock(),
      maxStreams: MANY_ENTRIES,
    });
    expect(usedBytes() - before).to.be.below(MAX_EMPTY_BYTES);
    expect(origins.find("unknown")).to.equal(undefined);
  });
});
