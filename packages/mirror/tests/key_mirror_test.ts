import { expect } from "chai";
import fc from "fast-check";
import { describe, it } from "mocha";
import type { KeyChange } from "../src/change_source.ts";
import type { KeyClass } from "../src/key_class.ts";
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
    expect(mirror.changesAfter({ era: 0, revision: 6 })).to.deep.equal({
      kind: "changes",
      era: 0,
      changes: [deletion("a", 7)],
      asOf: 7,
    });
    expect(mirror.changesAfter({ era: 0, revision: 2 })).to.deep.equal({
      kind: "snapshot",
      era: 0,
      entries: [put("b", 6)],
      asOf: 7,
    });
  });

  it("returns only the latest of several changes of a key", () => {
    const { mirror } = makeRecordingMirror();
    const changes = [put("a", 2), put("b", 3), put("a", 4), deletion("b", 5)];
    mirror.apply({ kind: "snapshot", entries: [], asOf: 1 });
    mirror.apply({ kind: "changes", changes, asOf: 5 });
    expect(mirror.changesAfter({ era: 0, revision: 1 })).to.deep.equal({
      kind: "changes",
      era: 0,
      changes: [put("a", 4), deletion("b", 5)],
      asOf: 5,
    });
  });

  it("returns no changes to a follower that is ahead", () => {
    const { mirror } = makeRecordingMirror();
    mirror.apply({ kind: "snapshot", entries: [put("a", 3)], asOf: 5 });
    expect(mirror.changesAfter({ era: 0, revision: 9 })).to.deep.equal({
      kind: "changes",
      era: 0,
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
    follower.apply(peer.changesAfter(follower.position));
    for (let revision = 2; revision < 5_000; revision += 1) {
      const change = revision % 3 === 0
        ? deletion("a", revision)
        : put("a", revision);
      peer.apply({ kind: "changes", changes: [change], asOf: revision });
    }
    follower.apply(peer.changesAfter(follower.position));
    expect(applied.at(-1)).to.equal("a=v4999");
    expect(follower.asOf).to.equal(4_999);
  });

  describe("in a later era of the store", () => {
    function makeMirror() {
      const { mirror, applied } = makeRecordingMirror();
      const entries = [put("a", 3), put("b", 9)];
      mirror.apply({ kind: "snapshot", era: 1, entries, asOf: 9 });
      return { mirror, applied };
    }

    // Updates at or below the revision of the lost state were ignored.
    it("applies a snapshot and changes with lower revisions", () => {
      const { mirror, applied } = makeMirror();
      const eras: unknown[] = [];
      mirror.onEraChange(({ previous, position, missingKeys }) =>
        eras.push([previous, position, missingKeys])
      );
      const entries = [put("a", 3), put("c", 5)];
      mirror.apply({ kind: "snapshot", era: 2, entries, asOf: 5 });
      mirror.apply({
        kind: "changes",
        era: 2,
        changes: [put("a", 6)],
        asOf: 6,
      });
      expect(applied).to.deep.equal([
        ...["a=v3", "b=v9"],
        ...["b=-", "c=v5", "a=v6"],
      ]);
      expect(mirror.position).to.deep.equal({ era: 2, revision: 6 });
      expect(eras).to.deep.equal([
        [{ era: 1, revision: 9 }, { era: 2, revision: 5 }, ["b"]],
      ]);
    });

    it("marks the differences to the copy only", () => {
      const { mirror } = makeMirror();
      const restored: boolean[] = [];
      mirror.onChange((_change, { isRestored }) => restored.push(isRestored));
      const entries = [put("a", 3), put("c", 5)];
      mirror.apply({ kind: "snapshot", era: 2, entries, asOf: 5 });
      mirror.apply({
        kind: "changes",
        era: 2,
        changes: [put("a", 6)],
        asOf: 6,
      });
      expect(restored).to.deep.equal([true, true, false]);
    });

    it("is entered by a snapshot of all keys only", () => {
      const { mirror, applied } = makeMirror();
      const update = { era: 2, asOf: 20 };
      const changes = [put("a", 20)];
      mirror.apply({ ...update, kind: "changes", changes });
      mirror.apply({
        ...update,
        kind: "snapshot",
        keyClass: "all",
        entries: changes,
      });
      expect(applied).to.have.length(2);
      expect(mirror.era).to.equal(1);
    });

    it("ignores updates of an earlier era, however high their revisions", () => {
      const { mirror, applied } = makeMirror();
      const entries = [put("a", 99)];
      expect(mirror.apply({ kind: "snapshot", entries, asOf: 99 }))
        .to.equal(false);
      expect(applied).to.have.length(2);
      expect(mirror.position).to.deep.equal({ era: 1, revision: 9 });
    });

    it("gives followers of an earlier one all keys, and none to those ahead", () => {
      const { mirror } = makeMirror();
      expect(mirror.changesAfter({ era: 0, revision: 99 })).to.deep.include({
        kind: "snapshot",
        era: 1,
        asOf: 9,
      });
      expect(mirror.changesAfter({ era: 2, revision: 1 })).to.deep.equal({
        kind: "changes",
        era: 1,
        changes: [],
        asOf: 9,
      });
    });
  });

  describe("with classes of keys", () => {
    const classes: [KeyClass, KeyClass] = [
      { name: "endpoints", prefixes: ["e/", "op/zone/"] },
      { name: "config", prefixes: ["op/config"] },
    ];
    const [endpoints, config] = classes;

    function setUp() {
      const mirror = new KeyMirror({ classes });
      const applied: string[] = [];
      mirror.onChange(({ key, value }, { keyClass }) =>
        applied.push(`${keyClass} ${key}=${value ?? "-"}`)
      );
      mirror.apply({
        kind: "snapshot",
        entries: [put("e/1", 2), put("op/config", 3)],
        asOf: 5,
      }, { receivedMs: 100, confirmedMs: 100 });
      return { mirror, applied };
    }

    it("applies changes of one class before older ones of another", () => {
      const { mirror, applied } = setUp();
      mirror.apply({
        kind: "changes",
        keyClass: "endpoints",
        changes: [deletion("e/1", 8), put("op/config", 9)],
        asOf: 9,
      }, { receivedMs: 300, confirmedMs: 290 });
      expect(applied.slice(2)).to.deep.equal(["endpoints e/1=-"]);
      expect(mirror.asOf).to.equal(5);
      expect(mirror.classAsOf(endpoints)).to.equal(9);
      expect(mirror.classConfirmedMs(endpoints)).to.equal(290);
      expect(mirror.confirmedMs).to.equal(100);
    });

    // An update of all keys that was on its way brought back an endpoint that
    // had been removed meanwhile.
    it("does not go back in a class that is ahead", () => {
      const { mirror, applied } = setUp();
      mirror.apply({
        kind: "changes",
        keyClass: "endpoints",
        changes: [deletion("e/1", 8)],
        asOf: 9,
      });
      mirror.apply({
        kind: "changes",
        changes: [put("e/1", 6), put("op/config", 7)],
        asOf: 7,
      });
      mirror.apply({
        kind: "snapshot",
        entries: [put("e/1", 6), put("op/config", 7)],
        asOf: 7,
      });
      expect(applied.slice(2)).to.deep.equal([
        "endpoints e/1=-",
        "config op/config=v7",
      ]);
      expect(mirror.classAsOf(config)).to.equal(7);
      expect(mirror.classAsOf(endpoints)).to.equal(9);
    });

    it("removes only keys of its class with a snapshot", () => {
      const { mirror, applied } = setUp();
      mirror.apply({
        kind: "snapshot",
        keyClass: "endpoints",
        entries: [put("op/zone/a", 8)],
        asOf: 9,
      });
      expect(applied.slice(2)).to.deep.equal([
        "endpoints e/1=-",
        "endpoints op/zone/a=v8",
      ]);
    });

    it("passes on only what all classes are complete for", () => {
      const { mirror } = setUp();
      mirror.apply({
        kind: "changes",
        changes: [put("e/2", 6)],
        asOf: 6,
      });
      mirror.apply({
        kind: "changes",
        keyClass: "endpoints",
        changes: [deletion("e/2", 8)],
        asOf: 9,
      });
      expect(mirror.changesAfter({ era: 0, revision: 5 })).to.deep.equal({
        kind: "changes",
        era: 0,
        changes: [put("e/2", 6)],
        asOf: 6,
      });
    });

    it("ends like its store after any updates of classes", () => {
      fc.assert(fc.property(fc.infiniteStream(fc.nat(999)), (numbers) => {
        const nextBelow = (bound: number) =>
          (numbers.next().value as number) % bound;
        const keys = ["e/1", "e/2", "op/zone/a", "op/config"];
        const history: KeyChange[] = [];
        const stateAt = (asOf: number) => {
          const state = new Map<string, KeyChange>();
          history.filter(({ revision }) => revision <= asOf).forEach((change) =>
            change.value === undefined
              ? state.delete(change.key)
              : state.set(change.key, change)
          );
          return state;
        };
        const mirror = new KeyMirror({ classes });
        const mirrored = new Map<string, KeyChange>();
        mirror.onChange((change) =>
          change.value === undefined
            ? mirrored.delete(change.key)
            : mirrored.set(change.key, change)
        );
        const apply = (keyClass: string | undefined, asOf: number) => {
          const known = mirror.asOf;
          mirror.apply(
            nextBelow(4) === 0 || known === 0
              ? {
                kind: "snapshot",
                keyClass,
                entries: [...stateAt(asOf).values()],
                asOf,
              }
              : {
                kind: "changes",
                keyClass,
                changes: history.filter(({ revision }) =>
                  revision > known && revision <= asOf
                ),
                asOf,
              },
          );
        };
        for (let revision = 1; revision <= 30; revision += 1) {
          const key = keys[nextBelow(keys.length)]!;
          history.push(
            nextBelow(3) === 0 ? deletion(key, revision) : put(key, revision),
          );
          const names = [undefined, "endpoints", "config"];
          const asOf = Math.max(1, revision - nextBelow(5));
          apply(names[nextBelow(names.length)], asOf);
          for (const [key, change] of mirrored) {
            const asOf = mirror.classAsOf(
              key === "op/config" ? config : endpoints,
            );
            expect(stateAt(asOf).get(key)).to.deep.equal(change);
          }
        }
        apply(undefined, 30);
        expect(mirrored).to.deep.equal(stateAt(30));
      }));
    });
  });
});
