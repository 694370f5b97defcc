import { ManualClock } from "@limpetshed/base";
import { makeLogger } from "@limpetshed/observe";
import { expect } from "chai";
import { describe, it } from "mocha";
import {
  type ChangeBatch,
  ChangeSource,
  type Snapshot,
} from "../src/change_source.ts";
import { KeyMirror } from "../src/key_mirror.ts";
import { MirrorFollower } from "../src/mirror_follower.ts";
import type { StorePosition } from "../src/store_position.ts";

/** A source whose reachability and revision are set by the test. */
class FakeSource extends ChangeSource {
  readonly name = "fake";
  isDown = false;
  asOf = 1;
  snapshotReads = 0;
  changePolls = 0;
  #resolvePendingPoll: (() => void) | undefined;

  waitForChanges({ revision }: StorePosition): Promise<ChangeBatch> {
    this.changePolls += 1;
    if (this.isDown) {
      return Promise.reject(new Error("down"));
    }
    return new Promise((resolve, reject) => {
      this.#resolvePendingPoll = () =>
        this.isDown
          ? reject(new Error("down"))
          : resolve({ kind: "changes", changes: [], asOf: revision });
    });
  }

  readAll(): Promise<Snapshot> {
    this.snapshotReads += 1;
    return this.isDown
      ? Promise.reject(new Error("down"))
      : Promise.resolve({ kind: "snapshot", entries: [], asOf: this.asOf });
  }

  resolvePendingPoll(): void {
    this.#resolvePendingPoll?.();
  }
}

function startFollower(source = new FakeSource()) {
  const clock = new ManualClock();
  const mirror = new KeyMirror();
  const logger = makeLogger({ level: "silent" });
  const follower = new MirrorFollower({ clock, mirror, source, logger });
  return { clock, source, mirror, follower };
}

/** A source that returns changes, not a snapshot, after an outage. */
class ResumableSource extends FakeSource {
  override resume(after: StorePosition): Promise<ChangeBatch> {
    return this.waitForChanges(after);
  }
}

describe("MirrorFollower", () => {
  it("reads a snapshot once, then polls for changes", async () => {
    const { clock, source, mirror, follower } = startFollower();
    await clock.advance(10);
    expect([source.snapshotReads, source.changePolls]).to.deep.equal([1, 1]);
    expect(mirror.asOf).to.equal(1);
    expect(follower.isReachable).to.equal(true);
  });

  it("keeps its state during an outage, then reads a snapshot", async () => {
    const { clock, source, mirror, follower } = startFollower();
    await clock.advance(10);
    source.isDown = true;
    source.resolvePendingPoll();
    await clock.advance(5_000);
    expect(mirror.asOf).to.equal(1);
    expect(follower.isReachable).to.equal(false);
    source.isDown = false;
    source.asOf = 9;
    await clock.advance(500);
    expect(mirror.asOf).to.equal(9);
    expect(follower.isReachable).to.equal(true);
  });

  it("reads only changes after an outage if the source can resume", async () => {
    const { clock, source, follower } = startFollower(new ResumableSource());
    await clock.advance(10);
    source.isDown = true;
    source.resolvePendingPoll();
    await clock.advance(1_000);
    source.isDown = false;
    await clock.advance(1_000);
    source.resolvePendingPoll();
    await clock.advance(10);
    expect(follower.isReachable).to.equal(true);
    expect(source.snapshotReads).to.equal(1);
  });

  it("backs off while the source is unreachable", async () => {
    const { clock, source } = startFollower();
    await clock.advance(10);
    source.isDown = true;
    source.resolvePendingPoll();
    const readsBefore = source.snapshotReads;
    await clock.advance(10_000);
    expect(source.snapshotReads - readsBefore).to.be.within(10, 40);
  });
});
