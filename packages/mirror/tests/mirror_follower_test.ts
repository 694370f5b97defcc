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

/** A source whose answers a test sets. */
class FakeSource extends ChangeSource {
  readonly name = "fake";
  isDown = false;
  asOf = 1;
  reads = 0;
  watches = 0;
  #wake: (() => void) | undefined;

  next(revision: number): Promise<ChangeBatch> {
    this.watches += 1;
    if (this.isDown) {
      return Promise.reject(new Error("down"));
    }
    return new Promise((resolve, reject) => {
      this.#wake = () =>
        this.isDown
          ? reject(new Error("down"))
          : resolve({ kind: "changes", changes: [], asOf: revision });
    });
  }

  readAll(): Promise<Snapshot> {
    this.reads += 1;
    return this.isDown
      ? Promise.reject(new Error("down"))
      : Promise.resolve({ kind: "snapshot", entries: [], asOf: this.asOf });
  }

  wake(): void {
    this.#wake?.();
  }
}

function follow(source = new FakeSource()) {
  const clock = new ManualClock();
  const mirror = new KeyMirror();
  const logger = makeLogger({ level: "silent" });
  const follower = new MirrorFollower({ clock, mirror, source, logger });
  return { clock, source, mirror, follower };
}

/** A source that tells all changes through failures. */
class LastingSource extends FakeSource {
  override resume(revision: number): Promise<ChangeBatch> {
    return this.next(revision);
  }
}

describe("MirrorFollower", () => {
  it("reads everything once, then waits for changes", async () => {
    const { clock, source, mirror, follower } = follow();
    await clock.advance(10);
    expect([source.reads, source.watches]).to.deep.equal([1, 1]);
    expect(mirror.asOf).to.equal(1);
    expect(follower.isReachable).to.equal(true);
    expect(follower.lastOutageEndMs).to.equal(Number.NEGATIVE_INFINITY);
  });

  it("keeps what it knows while the source is away, then reads it all", async () => {
    const { clock, source, mirror, follower } = follow();
    await clock.advance(10);
    source.isDown = true;
    source.wake();
    await clock.advance(5_000);
    expect(mirror.asOf).to.equal(1);
    expect(follower.isReachable).to.equal(false);
    source.isDown = false;
    source.asOf = 9;
    await clock.advance(500);
    expect(mirror.asOf).to.equal(9);
    expect(follower.isReachable).to.equal(true);
    expect(follower.lastOutageEndMs).to.be.greaterThan(5_000);
  });

  it("reads no more than the changes where the source keeps them", async () => {
    const { clock, source, follower } = follow(new LastingSource());
    await clock.advance(10);
    source.isDown = true;
    source.wake();
    await clock.advance(1_000);
    source.isDown = false;
    await clock.advance(1_000);
    source.wake();
    await clock.advance(10);
    expect(follower.isReachable).to.equal(true);
    expect(source.reads).to.equal(1);
  });

  it("does not press a source that is away", async () => {
    const { clock, source } = follow();
    await clock.advance(10);
    source.isDown = true;
    source.wake();
    const before = source.reads;
    await clock.advance(10_000);
    expect(source.reads - before).to.be.within(10, 40);
  });
});
