import { expect } from "chai";
import { describe, it } from "mocha";
import { ConfirmationWaiters } from "../src/confirmation_waiters.ts";
import { KeyMirror } from "../src/key_mirror.ts";

function setUp() {
  const mirror = new KeyMirror();
  const waiters = new ConfirmationWaiters({ mirror });
  const calls: string[] = [];
  const confirm = async (confirmedMs: number) => {
    mirror.apply({ kind: "changes", changes: [], asOf: 1 }, {
      receivedMs: confirmedMs,
      confirmedMs,
    });
    await new Promise(setImmediate);
  };
  return { waiters, calls, confirm };
}

describe("ConfirmationWaiters", () => {
  it("call back once the state is newer than asked for", async () => {
    const { waiters, calls, confirm } = setUp();
    waiters.add(10, () => calls.push("10"));
    waiters.add(20, () => calls.push("20"));
    await confirm(10);
    expect(calls).to.deep.equal([]);
    await confirm(15);
    expect(calls).to.deep.equal(["10"]);
    await confirm(30);
    await confirm(40);
    expect(calls).to.deep.equal(["10", "20"]);
    waiters.close();
  });

  it("do not call back what was cancelled or after they were closed", async () => {
    const { waiters, calls, confirm } = setUp();
    waiters.add(10, () => calls.push("cancelled"))();
    waiters.add(10, () => calls.push("closed"));
    waiters.close();
    waiters.add(10, () => calls.push("too late"));
    await confirm(20);
    expect(calls).to.deep.equal([]);
  });
});
