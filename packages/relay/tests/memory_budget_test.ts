import { Buffer } from "node:buffer";
import { ManualClock } from "@limpetshed/base";
import { expect } from "chai";
import { beforeEach, describe, it } from "mocha";
import { BlockPool } from "../src/block_pool.ts";
import { BodyBlocks } from "../src/body_blocks.ts";
import {
  type ClientSocket,
  ConnectionLimiter,
} from "../src/connection_limiter.ts";
import { MemoryBudget, type MemoryClaim } from "../src/memory_budget.ts";
import { SmallChunkLimiter } from "../src/small_chunk_limiter.ts";

const KIB = 1_024;

describe("MemoryBudget", () => {
  let clock: ManualClock;
  let budget: MemoryBudget;
  let evicted: string[];

  beforeEach(() => {
    clock = new ManualClock();
    budget = new MemoryBudget({ clock, capacityBytes: 1_000 * KIB });
    evicted = [];
  });

  function open(name: string, kib: number): MemoryClaim {
    const claim = budget.open();
    claim.onEvict(() => evicted.push(name));
    claim.grow(kib * KIB);
    return claim;
  }

  it("refuses growth while all bodies grow, and nothing is charged", () => {
    open("a", 400);
    const claim = open("b", 300);
    expect(claim.grow(100 * KIB)).to.equal(false);
    expect(budget.heldBytes).to.equal(700 * KIB);
    expect(evicted).to.deep.equal([]);
  });

  it("takes the room of the largest and slowest body that stopped", async () => {
    open("small and slow", 100);
    open("large", 400);
    await clock.advance(200);
    open("late", 240);
    await clock.advance(100);
    expect(budget.hasRoomFor(300 * KIB)).to.equal(true);
    expect(open("new", 300).bytes).to.equal(300 * KIB);
    expect(evicted).to.deep.equal(["large"]);
    expect(budget.heldBytes).to.equal(640 * KIB);
  });

  it("keeps what has arrived whole", async () => {
    open("whole", 700).onEvict(undefined);
    await clock.advance(60_000);
    expect(budget.hasRoomFor(100 * KIB)).to.equal(false);
    expect(open("new", 100).bytes).to.equal(0);
  });

  it("leaves small requests a part that large bodies cannot take", () => {
    open("large", 750);
    expect(open("also large", 17).bytes).to.equal(0);
    for (let index = 0; index < 15; index += 1) {
      expect(open(`small ${index}`, 16).bytes).to.equal(16 * KIB);
    }
    expect(evicted).to.deep.equal([]);
    open("small", 16);
    expect(evicted).to.deep.equal(["large"]);
  });

  it("gets everything back, whatever way a claim ends", async () => {
    const claim = open("closed twice", 100);
    claim.close();
    claim.close();
    open("evicted", 100).evict();
    await clock.advance(1_000);
    expect(budget.heldBytes).to.equal(0);
  });
});

describe("BodyBlocks", () => {
  it("holds a small multiple of what came, in any chunks", () => {
    for (const chunkBytes of [1, 7, 1_000, 65_536]) {
      let reserved = 0;
      const blocks = new BodyBlocks({
        pool: new BlockPool({ maxBytes: 1_000 * KIB }),
        reserve: (bytes) => (reserved += bytes) > 0,
      });
      const body = Buffer.from(
        Array.from({ length: 300_000 }, (_, index) => index % 251),
      );
      for (let start = 0; start < body.length; start += chunkBytes) {
        blocks.append(body.subarray(start, start + chunkBytes));
      }
      expect(reserved).to.be.at.most(2 * body.length);
      expect(blocks.take().equals(body), `chunks of ${chunkBytes}`)
        .to.equal(true);
    }
  });

  it("takes nothing that it may not hold", () => {
    const blocks = new BodyBlocks({
      pool: new BlockPool({ maxBytes: 0 }),
      reserve: () => false,
    });
    expect(blocks.append(Buffer.from("a"))).to.equal(false);
    expect(blocks.append(Buffer.alloc(65_536))).to.equal(false);
  });
});

describe("SmallChunkLimiter", () => {
  it("reads two bodies in small chunks to their end, and others once they end", async () => {
    const clock = new ManualClock();
    const limiter = new SmallChunkLimiter({ clock });
    const bodies = Array.from({ length: 3 }, () => limiter.open());
    const countChunks = (index: number, chunkBytes: number) => {
      let chunks = 0;
      while (chunks < 50_000 && bodies[index]!.add(chunks * chunkBytes)) {
        chunks += 1;
      }
      return chunks;
    };
    expect(countChunks(0, 1)).to.equal(50_000);
    expect(countChunks(1, 16)).to.equal(50_000);
    expect(countChunks(2, 1)).to.be.within(4_096, 8_192);
    bodies[2] = limiter.open();
    expect(countChunks(2, 1_024)).to.equal(50_000);
    bodies[2] = limiter.open();
    await clock.advance(1_000);
    expect(countChunks(2, 1)).to.equal(50_000);
  });
});

describe("ConnectionLimiter", () => {
  it("closes the connection that waits longest for its client", () => {
    const limiter = new ConnectionLimiter({ maxConnections: 2 });
    const closed: string[] = [];
    const open = (name: string): ClientSocket => {
      const socket = {
        destroy: () => closed.push(name),
        once: () => socket,
      } as unknown as ClientSocket;
      limiter.add(socket);
      return socket;
    };
    const endRequest = limiter.begin(open("busy"));
    open("idle");
    open("new");
    expect(closed).to.deep.equal(["idle"]);
    endRequest();
    open("newer");
    expect(closed).to.deep.equal(["idle", "new"]);
    expect([limiter.openCount, limiter.shedCount]).to.deep.equal([2, 2]);
  });
});
