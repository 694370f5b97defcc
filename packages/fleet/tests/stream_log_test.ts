import { ManualClock } from "@limpetshed/base";
import { makeLogger } from "@limpetshed/observe";
import { expect } from "chai";
import { describe, it } from "mocha";
import { StreamLog } from "../src/stream_log.ts";
import type { StreamGroupEntry } from "../src/stream_message.ts";

/** Longer than the pause after a failed call. */
const RETRIED_MS = 1_500;
const COPY_WRITTEN_MS = 600;

function startLog(
  { isStored = () => false }: { isStored?: () => boolean } = {},
) {
  const clock = new ManualClock();
  const items = new Map<string, StreamGroupEntry[]>();
  const acknowledged: string[] = [];
  const store: { failure?: "error" | "expired" } = {};
  const log = new StreamLog({
    clock,
    logger: makeLogger({ destination: { write: () => undefined } }),
    store: {
      grantLease: () => Promise.resolve({ id: 1, era: 0 }),
      renewLease: () => Promise.resolve(true),
      put: (key, { value }) => {
        if (store.failure === "error") {
          return Promise.reject(new Error("the store is away"));
        }
        if (store.failure === undefined) {
          items.set(key, JSON.parse(value) as StreamGroupEntry[]);
        }
        return Promise.resolve(store.failure === undefined);
      },
    },
    batchPrefix: "streams/",
    nodeId: "n0",
    markKey: () => "",
    markKeeper: () => undefined,
    marks: () => [],
    era: () => 0,
    isStored,
    onStored: (author, { groups }) =>
      acknowledged.push(
        ...groups.flatMap(([, , streams]) => `${author} ${streams.join()}`),
      ),
  });
  const add = (stream: string, isCopy = false) =>
    log.add({ groups: [["s", "v1", [stream]]], author: "n1", isCopy });
  const run = async (ms: number) => {
    for (let passedMs = 0; passedMs < ms; passedMs += 100) {
      await clock.advance(100);
      await new Promise((resolve) => setImmediate(resolve));
    }
  };
  const stored = () =>
    [...items.values()].flat().flatMap(([, , streams]) => streams);
  return { log, store, add, run, stored, acknowledged };
}

describe("StreamLog", () => {
  // Streams were dropped with a write that failed; their node may have ended.
  for (const failure of ["error", "expired"] as const) {
    it(`writes the streams of a batch that failed again: ${failure}`, async () => {
      const { log, store, add, run, stored, acknowledged } = startLog();
      add("a");
      await run(200);
      store.failure = failure;
      add("b");
      await run(200);
      add("c");
      store.failure = undefined;
      await run(RETRIED_MS);
      expect(stored()).to.have.members(["a", "b", "c"]);
      expect(acknowledged).to.deep.equal(["n1 a", "n1 b,c"]);
      await log.close();
    });
  }

  it("writes copies late, and only of streams that are not in the store", async () => {
    let isStored = false;
    const { log, add, run, stored } = startLog({ isStored: () => isStored });
    add("a", true);
    await run(200);
    expect(stored()).to.deep.equal([]);
    await run(COPY_WRITTEN_MS);
    expect(stored()).to.deep.equal(["a"]);
    add("b", true);
    isStored = true;
    await run(COPY_WRITTEN_MS);
    expect(stored()).to.deep.equal(["a"]);
    await log.close();
  });
});
