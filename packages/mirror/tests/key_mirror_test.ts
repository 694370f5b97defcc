import { expect } from "chai";
import { describe, it } from "mocha";
import type { KeyChange } from "../src/change_source.ts";
import { KeyMirror } from "../src/key_mirror.ts";

function put(key: string, revision: number, value = `v${revision}`): KeyChange {
  return { key, value, revision };
}

function deletion(key: string, revision: number): KeyChange {
  return { key, value: undefined, revision };
}

function makeRecordingMirror(): { mirror: KeyMirror; applied: string[] } {
  const mirror = new KeyMirror();
  const applied: string[] = [];
  mirror.onChange(({ key, value }) => applied.push(`${key}=${value ?? "-"}`));
  return { mirror, applied };
}

describe("KeyMirror", () => {
  it("applies a snapshot, then changes", () => {
    const { mirror, applied } = makeRecordingMirror();
    mirror.apply({ kind: "snapshot", entries: [put("a", 3)], asOf: 5 });
    mirror.apply({ kind: "changes", changes: [put("a", 6)], asOf: 6 });
    expect(applied).to.deep.equal(["a=v3", "a=v6"]);
    expect(mirror.asOf).to.equal(6);
  });

  it("ignores a snapshot older than the mirror", () => {
    const { mirror, applied } = makeRecordingMirror();
    mirror.apply({ kind: "snapshot", entries: [put("a", 9)], asOf: 9 });
    mirror.apply({ kind: "snapshot", entries: [put("a", 3)], asOf: 5 });
    expect(applied).to.deep.equal(["a=v9"]);
    expect(mirror.asOf).to.equal(9);
  });

  it("does not restore a key whose deletion another source reported", () => {
    const { mirror, applied } = makeRecordingMirror();
    mirror.apply({ kind: "snapshot", entries: [], asOf: 5 });
    mirror.apply({
      kind: "changes",
      changes: [put("a", 6), deletion("a", 7)],
      asOf: 7,
    });
    mirror.apply({
      kind: "changes",
      changes: [put("a", 6), deletion("a", 7), put("b", 8)],
      asOf: 8,
    });
    expect(applied).to.deep.equal(["a=v6", "a=-", "b=v8"]);
  });

  it("notifies listeners of keys that are missing from a snapshot", () => {
    const { mirror, applied } = makeRecordingMirror();
    mirror.apply({
      kind: "snapshot",
      entries: [put("a", 1), put("b", 2)],
      asOf: 5,
    });
    mirror.apply({ kind: "snapshot", entries: [put("b", 2)], asOf: 9 });
    expect(applied).to.deep.equal(["a=v1", "b=v2", "a=-"]);
  });

  it("bounds the age of a change by the last time it was current", () => {
    const mirror = new KeyMirror();
    const ages: number[] = [];
    mirror.onChange((_change, { maxAgeMs }) => ages.push(maxAgeMs));
    const first = {
      kind: "snapshot" as const,
      entries: [put("a", 3)],
      asOf: 5,
    };
    mirror.apply(first, { receivedMs: 110, confirmedMs: 100 });
    const unchanged = { kind: "changes" as const, changes: [], asOf: 5 };
    mirror.apply(unchanged, { receivedMs: 210, confirmedMs: 200 });
    mirror.apply(unchanged, { receivedMs: 220, confirmedMs: 150 });
    expect(mirror.confirmedMs).to.equal(200);
    const change = { ...unchanged, changes: [put("a", 6)], asOf: 6 };
    mirror.apply(change, { receivedMs: 900, confirmedMs: 890 });
    expect(ages).to.deep.equal([Number.POSITIVE_INFINITY, 700]);
  });

  it("returns retained changes, or a snapshot if they are not retained", () => {
    const { mirror } = makeRecordingMirror();
    mirror.apply({ kind: "snapshot", entries: [put("a", 3)], asOf: 5 });
    mirror.apply({ kind: "changes", changes: [put("b", 6)], asOf: 6 });
    mirror.apply({ kind: "changes", changes: [deletion("a", 7)], asOf: 7 });
    expect(mirror.changesAfter(6)).to.deep.equal({
      kind: "changes",
      changes: [deletion("a", 7)],
      asOf: 7,
    });
    expect(mirror.changesAfter(2)).to.deep.equal({
      kind: "snapshot",
      entries: [put("b", 6)],
      asOf: 7,
    });
  });

  it("returns only the latest of several changes of a key", () => {
    const { mirror } = makeRecordingMirror();
    const changes = [put("a", 2), put("b", 3), put("a", 4), deletion("b", 5)];
    mirror.apply({ kind: "snapshot", entries: [], asOf: 1 });
    mirror.apply({ kind: "changes", changes, asOf: 5 });
    expect(mirror.changesAfter(1)).to.deep.equal({
      kind: "changes",
      changes: [put("a", 4), deletion("b", 5)],
      asOf: 5,
    });
  });

  it("returns no changes to a follower that is ahead", () => {
    const { mirror } = makeRecordingMirror();
    mirror.apply({ kind: "snapshot", entries: [put("a", 3)], asOf: 5 });
    expect(mirror.changesAfter(9)).to.deep.equal({
      kind: "changes",
      changes: [],
      asOf: 5,
    });
  });

  it("brings a follower up to date after more changes than are retained", () => {
    const peer = new KeyMirror();
    const follower = new KeyMirror();
    const applied: string[] = [];
    follower.onChange(({ key, value }) =>
      applied.push(`${key}=${value ?? "-"}`)
    );
    peer.apply({ kind: "snapshot", entries: [put("a", 1)], asOf: 1 });
    follower.apply(peer.changesAfter(follower.asOf));
    for (let revision = 2; revision < 5_000; revision += 1) {
      const change = revision % 3 === 0
        ? deletion("a", revision)
        : put("a", revision);
      peer.apply({ kind: "changes", changes: [change], asOf: revision });
    }
    follower.apply(peer.changesAfter(follower.asOf));
    expect(applied.at(-1)).to.equal("a=v4999");
    expect(follower.asOf).to.equal(4_999);
  });
});
