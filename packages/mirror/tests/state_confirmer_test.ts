import { ManualClock } from "@limpetshed/base";
import { expect } from "chai";
import { describe, it } from "mocha";
import type { ChangeBatch } from "../src/change_source.ts";
import { KeyMirror } from "../src/key_mirror.ts";
import { StateConfirmer } from "../src/state_confirmer.ts";

function setUp() {
  const clock = new ManualClock();
  const mirror = new KeyMirror();
  const calls: { answer: () => void; fail: () => void }[] = [];
  const confirmer = new StateConfirmer({
    clock,
    mirror,
    reader: {
      read: ({ after }) =>
        new Promise<ChangeBatch>((resolve, reject) =>
          calls.push({
            answer: () =>
              resolve({
                kind: "changes",
                changes: [],
                asOf: after.revision + 1,
              }),
            fail: () => reject(new Error("refused")),
          })
        ),
    },
    timeoutMs: 250,
  });
  return { clock, mirror, calls, confirmer };
}

describe("StateConfirmer", () => {
  it("waits for a read that begins after the moment", async () => {
    const { clock, mirror, calls, confirmer } = setUp();
    await clock.advance(10);
    const first = confirmer.confirm(5);
    await clock.advance(10);
    // The read in progress may have been answered before this moment.
    const second = confirmer.confirm(15);
    expect(calls).to.have.length(1);
    calls[0]!.answer();
    expect(await first).to.equal(true);
    await clock.advance(1);
    expect(calls).to.have.length(2);
    calls[1]!.answer();
    expect(await second).to.equal(true);
    expect(mirror.asOf).to.equal(2);
    expect(await confirmer.confirm(15)).to.equal(true);
    expect(calls).to.have.length(2);
  });

  it("says so if the store refuses or does not answer in time", async () => {
    const { clock, calls, confirmer } = setUp();
    const refused = confirmer.confirm(0);
    calls[0]!.fail();
    expect(await refused).to.equal(false);
    const unanswered = confirmer.confirm(0);
    await clock.advance(250);
    expect(await unanswered).to.equal(false);
  });
});
