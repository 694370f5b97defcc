import type { Buffer } from "node:buffer";
import { ManualClock } from "@limpetshed/base";
import {
  EndpointRegistry,
  ServiceVersions,
  streamKey,
  type StreamOrigin,
  StreamOrigins,
} from "@limpetshed/dispatch";
import {
  type Lease,
  PeerDirectory,
  type StreamGroupEntry,
  StreamLog,
} from "@limpetshed/fleet";
import { initHashing } from "@limpetshed/hashing";
import { makeLogger } from "@limpetshed/observe";
import { StreamOriginResolver } from "@limpetshed/relay";
import { expect } from "chai";
import { before, describe, it } from "mocha";
import { MarkDuty } from "../src/mark_duty.ts";
import { StreamSharing } from "../src/stream_sharing.ts";

const ROUND_MS = 200;
/** By then a round and a write have brought a stream to the store. */
const STORED_MS = 600;
/** Longer than a resumption waits for the record of its stream. */
const RESOLVED_MS = 2_000;
const SERVICE = "model";
const ACCOUNT = "acme";

/** A store whose nodes see its changes at once, or not at all while it is down. */
class TestStore {
  readonly items = new Map<string, { value: string; lease: number }>();
  isDown = false;
  writes = 0;
  readonly #clock: ManualClock;
  readonly #leaseEndMs = new Map<number, number>();
  readonly #ttlMs = new Map<number, number>();

  constructor(clock: ManualClock) {
    this.#clock = clock;
  }

  grantLease(ttlMs: number): Promise<Lease> {
    return this.#call(() => {
      const id = this.#leaseEndMs.size + 1;
      this.#ttlMs.set(id, ttlMs);
      this.#leaseEndMs.set(id, this.#clock.monotonicMs() + ttlMs);
      return { id, era: 0 };
    });
  }

  renewLease({ id }: Lease): Promise<boolean> {
    return this.#call(() => {
      this.#leaseEndMs.set(
        id,
        this.#clock.monotonicMs() + this.#ttlMs.get(id)!,
      );
      return true;
    });
  }

  put(
    key: string,
    { value, lease }: { value: string; lease: Lease },
  ): Promise<boolean> {
    return this.#call(() => {
      this.writes += 1;
      this.items.set(key, { value, lease: lease.id });
      return true;
    });
  }

  expire(): void {
    for (const [key, { lease }] of this.items) {
      if (this.#leaseEndMs.get(lease)! < this.#clock.monotonicMs()) {
        this.items.delete(key);
      }
    }
  }

  #call<T>(run: () => T): Promise<T> {
    return this.isDown
      ? Promise.reject(new Error("the store is down"))
      : Promise.resolve(run());
  }
}

/** The parts of a node that know where streams began. */
class TestNode {
  readonly registry: EndpointRegistry;
  readonly origins: StreamOrigins;
  readonly versions: ServiceVersions;
  readonly sharing: StreamSharing;
  /** Whether it can call the store. */
  hasStore = true;
  readonly #clock: ManualClock;
  readonly #log: StreamLog;
  readonly #markDuty: MarkDuty;
  readonly #resolver: StreamOriginResolver;
  readonly #seen = new Set<string>();
  #confirmedMs = Number.NEGATIVE_INFINITY;

  constructor(
    { clock, store, id, writerIds, send }: {
      clock: ManualClock;
      store: TestStore;
      id: string;
      writerIds: () => readonly string[];
      send: (address: string, datagrams: readonly Buffer[]) => void;
    },
  ) {
    this.#clock = clock;
    const logger = makeLogger({ destination: { write: () => undefined } });
    this.registry = new EndpointRegistry({
      clock,
      onRemove: (endpoint) => this.versions.recordRemoved(endpoint),
    });
    this.origins = new StreamOrigins({ clock });
    this.versions = new ServiceVersions({ clock, registry: this.registry });
    this.#markDuty = new MarkDuty({
      clock,
      nodeId: id,
      versions: this.versions,
      writerIds,
    });
    this.#log = new StreamLog({
      clock,
      logger,
      store: {
        grantLease: (ttlMs) => this.#reach(store).grantLease(ttlMs),
        renewLease: (lease) => this.#reach(store).renewLease(lease),
        put: (key, options) => this.#reach(store).put(key, options),
      },
      batchPrefix: `streams/${id}/${clock.monotonicMs()}/`,
      markKey: ({ service, version }) => `versions/${service}/${version}`,
      era: () => 0,
      isStored: (stream, { version }) =>
        this.origins.find(stream)?.version === version,
      onStored: (author, stored) => this.sharing.acknowledge(author, stored),
      nodeId: id,
      marks: () => this.#markDuty.due(),
      markKeeper: (mark) => this.versions.findMark(mark)?.keeper,
    });
    const directory = new PeerDirectory({ clock, selfId: id });
    for (const peer of writerIds()) {
      directory.put({
        id: peer,
        availabilityZone: "a",
        callAddress: "",
        datagramAddress: peer,
      });
    }
    this.sharing = new StreamSharing({
      clock,
      logger,
      nodeId: id,
      send,
      node: { streamOrigins: this.origins, serviceVersions: this.versions },
      directory,
      log: this.#log,
      writerIds,
      era: () => 0,
    });
    this.#resolver = new StreamOriginResolver({
      clock,
      origins: this.origins,
      versions: this.versions,
      view: { confirmedMs: () => this.#confirmedMs },
      onResolved: () => undefined,
    });
  }

  /** Applies the state of the store, as the mirror does. */
  follow(store: TestStore): void {
    this.#confirmedMs = this.#clock.monotonicMs();
    for (const [key, { value }] of store.items) {
      if (!this.#seen.has(key)) {
        this.#seen.add(key);
        if (key.startsWith("versions/")) {
          this.versions.setMark(key, JSON.parse(value) as StreamOrigin);
        } else {
          for (
            const [service, version, streams] of JSON.parse(
              value,
            ) as StreamGroupEntry[]
          ) {
            this.origins.recordStored({ service, version, streams });
          }
        }
      }
    }
    for (const key of this.#seen) {
      if (!store.items.has(key)) {
        this.#seen.delete(key);
        this.versions.deleteMark(key);
      }
    }
  }

  setEndpoint(id: string, version: string | undefined): void {
    if (version === undefined) {
      this.registry.delete(id);
      return;
    }
    this.registry.put({
      id,
      service: SERVICE,
      address: `10.0.0.1:${1_000 + Number(id.slice(1))}`,
      availabilityZone: "a",
      slots: 8,
      state: "ready",
      coldMs: 0,
      startedMs: 1,
      softwareVersion: version,
    });
  }

  begin(requestId: string, version: string): void {
    this.origins.recordBegun(streamKey(ACCOUNT, requestId), {
      service: SERVICE,
      version,
    });
  }

  /** Resolves to the version at which a resumption may go on, or its refusal. */
  resume(requestId: string | undefined, account = ACCOUNT): Promise<string> {
    return this.#resolver.resolve({
      requestId: "again",
      account,
      resumption: { lastEventId: undefined, firstRequestId: requestId },
      services: [SERVICE],
      arrivedMs: this.#clock.monotonicMs(),
      signal: new AbortController().signal,
    }).then(({ version }) => version, (err: { kind: string }) => err.kind);
  }

  close(): void {
    void this.#log.close();
    void this.sharing.close();
  }

  #reach(store: TestStore): TestStore {
    if (!this.hasStore) {
      throw new Error("the store is out of reach");
    }
    return store;
  }
}

const UNKNOWN = "stream_origin_unknown";

/** Nodes that share a store and where their streams began. */
class TestFleet {
  readonly clock = new ManualClock();
  readonly store = new TestStore(this.clock);
  nodes: TestNode[] = [];
  readonly #endpoints = new Map<string, string>();
  /** Nodes whose datagrams, in and out, are lost. */
  readonly #silent = new Set<string>();
  /** A node that takes itself for the first writer, as no other node does. */
  #usurper: string | undefined;
  #lossyUntilMs = 0;

  constructor(readonly size = 4) {
    this.startAll();
  }

  startAll(): void {
    this.#silent.clear();
    this.nodes = Array.from({ length: this.size }, (_, index) => {
      const id = `n${index}`;
      const node = new TestNode({
        clock: this.clock,
        store: this.store,
        id,
        writerIds: () =>
          id === this.#usurper
            ? [id, ...this.#nodeIds.filter((each) => each !== id)]
            : this.#nodeIds,
        send: (address, datagrams) => this.#deliver(id, address, datagrams),
      });
      this.#endpoints.forEach((version, id) => node.setEndpoint(id, version));
      return node;
    });
  }

  /** Ends a node; the others take it for live. */
  kill(index: number): void {
    this.nodes[index]!.close();
    this.#silent.add(`n${index}`);
  }

  /** Has a node take itself for the first writer for some time. */
  async usurp(index: number, ms: number): Promise<void> {
    this.#usurper = `n${index}`;
    await this.run(ms);
    this.#usurper = undefined;
  }

  /** Cuts a node off from the other nodes. */
  cutOff(index: number): void {
    this.#silent.add(`n${index}`);
  }

  /** Ends all nodes at once and starts them anew. */
  async killAll(): Promise<void> {
    this.nodes.forEach((node) => node.close());
    this.startAll();
    await this.run(ROUND_MS);
  }

  setEndpoint(id: string, version: string | undefined): void {
    if (version === undefined) {
      this.#endpoints.delete(id);
    } else {
      this.#endpoints.set(id, version);
    }
    this.nodes.forEach((node) => node.setEndpoint(id, version));
  }

  /** Loses the datagrams of the next `ms` milliseconds. */
  loseDatagrams(ms: number): void {
    this.#lossyUntilMs = this.clock.monotonicMs() + ms;
  }

  async run(ms: number): Promise<void> {
    for (let passedMs = 0; passedMs < ms; passedMs += ROUND_MS) {
      for (let part = 0; part < 4; part += 1) {
        await this.clock.advance(ROUND_MS / 4);
        await settle();
      }
      this.store.expire();
      if (!this.store.isDown) {
        this.nodes.forEach((node) => node.follow(this.store));
      }
    }
  }

  async resume(node: number, requestId?: string, account?: string) {
    const result = this.nodes[node]!.resume(requestId, account);
    await this.run(RESOLVED_MS);
    return await result;
  }

  close(): void {
    this.nodes.forEach((node) => node.close());
  }

  get #nodeIds(): string[] {
    return Array.from({ length: this.size }, (_, index) => `n${index}`);
  }

  #deliver(from: string, to: string, datagrams: readonly Buffer[]): void {
    const isLost = this.clock.monotonicMs() < this.#lossyUntilMs ||
      this.#silent.has(from) || this.#silent.has(to);
    if (!isLost) {
      const { sharing } = this.nodes[this.#nodeIds.indexOf(to)]!;
      datagrams.forEach((data) => sharing.receive(data));
    }
  }
}

/** Lets the promises of this turn resolve. */
function settle(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

// Streams went on at another software version, most after all nodes were killed.
describe("where a stream began", () => {
  let fleet: TestFleet;

  before(initHashing);

  async function startMixed(): Promise<void> {
    fleet = new TestFleet();
    fleet.setEndpoint("e1", "v1");
    fleet.setEndpoint("e2", "v1");
    await fleet.run(2_000);
    fleet.setEndpoint("e3", "v2");
    fleet.setEndpoint("e4", "v2");
    await fleet.run(STORED_MS);
  }

  it("is known at other nodes", async () => {
    await startMixed();
    fleet.nodes[1]!.begin("r1", "v1");
    fleet.nodes[2]!.begin("r2", "v2");
    await fleet.run(STORED_MS);
    expect(await fleet.resume(3, "r1")).to.equal("v1");
    expect(await fleet.resume(0, "r2")).to.equal("v2");
  });

  it("is known after all nodes were killed, twice", async () => {
    await startMixed();
    fleet.nodes[1]!.begin("r1", "v1");
    fleet.nodes[2]!.begin("r2", "v2");
    await fleet.run(STORED_MS);
    await fleet.killAll();
    await fleet.killAll();
    expect(await fleet.resume(3, "r1")).to.equal("v1");
    expect(await fleet.resume(0, "r2")).to.equal("v2");
  });

  it("is known of streams that began before the release", async () => {
    fleet = new TestFleet();
    fleet.setEndpoint("e1", "v1");
    fleet.nodes[1]!.begin("r1", "v1");
    await fleet.run(2_000);
    fleet.setEndpoint("e2", "v2");
    await fleet.run(STORED_MS);
    await fleet.killAll();
    expect(await fleet.resume(2, "r1")).to.equal("v1");
  });

  it("is not guessed if it was not stored before all nodes were killed", async () => {
    await startMixed();
    fleet.nodes[1]!.begin("r1", "v1");
    await fleet.killAll();
    expect(await fleet.resume(1, "r1")).to.equal(UNKNOWN);
  });

  it("is not guessed after all nodes were killed and the old version left", async () => {
    await startMixed();
    fleet.nodes[1]!.begin("r1", "v1");
    fleet.setEndpoint("e1", undefined);
    fleet.setEndpoint("e2", undefined);
    await fleet.killAll();
    expect(await fleet.resume(1, "r1")).to.equal(UNKNOWN);
  });

  it("is the only version of the service when there was no other", async () => {
    fleet = new TestFleet();
    fleet.setEndpoint("e1", "v1");
    await fleet.run(2_000);
    fleet.nodes[1]!.begin("r1", "v1");
    const writes = fleet.store.writes;
    await fleet.run(2_000);
    expect(fleet.store.writes).to.equal(writes);
    await fleet.killAll();
    expect(await fleet.resume(2, "r1")).to.equal("v1");
    expect(await fleet.resume(2)).to.equal("v1");
  });

  it("is the only version again a while after the release", async () => {
    await startMixed();
    fleet.setEndpoint("e1", undefined);
    fleet.setEndpoint("e2", undefined);
    await fleet.run(30_000);
    expect(await fleet.resume(2, "r1")).to.equal(UNKNOWN);
    await fleet.run(120_000);
    expect(await fleet.resume(2, "r1")).to.equal("v2");
  });

  it("is not guessed by a node whose view of the store is old", async () => {
    fleet = new TestFleet();
    fleet.setEndpoint("e1", "v1");
    await fleet.run(2_000);
    fleet.store.isDown = true;
    await fleet.run(1_000);
    expect(await fleet.resume(1, "r1")).to.equal(UNKNOWN);
  });

  it("is known at its own node while the store is down", async () => {
    await startMixed();
    fleet.store.isDown = true;
    fleet.nodes[1]!.begin("r1", "v2");
    expect(await fleet.resume(1, "r1")).to.equal("v2");
  });

  it("reaches the store after lost datagrams and failed writes", async () => {
    await startMixed();
    fleet.nodes[1]!.begin("r1", "v1");
    fleet.loseDatagrams(500);
    await fleet.run(1_000);
    fleet.store.isDown = true;
    fleet.nodes[2]!.begin("r2", "v2");
    await fleet.run(1_000);
    fleet.store.isDown = false;
    await fleet.run(3_000);
    await fleet.killAll();
    expect(await fleet.resume(2, "r1")).to.equal("v1");
    expect(await fleet.resume(3, "r2")).to.equal("v2");
  });

  it("is not known of another account, or without an id", async () => {
    await startMixed();
    fleet.nodes[1]!.begin("r1", "v1");
    await fleet.run(STORED_MS);
    expect(await fleet.resume(1, "r1", "other")).to.equal(UNKNOWN);
    expect(await fleet.resume(1)).to.equal(UNKNOWN);
  });

  it("is not known of an id that two streams have in common", async () => {
    await startMixed();
    fleet.nodes[1]!.begin("r1", "v1");
    fleet.nodes[2]!.begin("r1", "v2");
    await fleet.run(STORED_MS);
    expect(await fleet.resume(3, "r1")).to.equal(UNKNOWN);
  });

  it("is known among three versions and after a rollback", async () => {
    await startMixed();
    fleet.setEndpoint("e5", "v3");
    fleet.nodes[1]!.begin("r1", "v1");
    fleet.nodes[2]!.begin("r2", "v2");
    fleet.nodes[3]!.begin("r3", "v3");
    await fleet.run(STORED_MS);
    fleet.setEndpoint("e3", undefined);
    fleet.setEndpoint("e4", undefined);
    fleet.setEndpoint("e6", "v1");
    await fleet.killAll();
    expect(await fleet.resume(0, "r1")).to.equal("v1");
    expect(await fleet.resume(1, "r2")).to.equal("v2");
    expect(await fleet.resume(2, "r3")).to.equal("v3");
  });

  it("is not stored of complete streams", async () => {
    await startMixed();
    const writes = fleet.store.writes;
    fleet.nodes[1]!.begin("r1", "v1");
    fleet.nodes[1]!.origins.recordCompleted(streamKey(ACCOUNT, "r1"));
    await fleet.run(2_000);
    expect(fleet.store.writes).to.equal(writes);
  });

  // None of the streams of a node that ended after the writer went on elsewhere.
  for (const gapMs of [0, 200, 600, 1_000, 1_400, 2_600]) {
    it(`is known after the writer ended and its own node ${gapMs} ms later`, async () => {
      await startMixed();
      fleet.kill(0);
      const streamCount = 1 + gapMs / ROUND_MS;
      for (let index = 0; index < streamCount; index += 1) {
        fleet.nodes[1]!.begin(`r${index}`, index % 2 === 0 ? "v1" : "v2");
        await fleet.run(ROUND_MS);
      }
      fleet.kill(1);
      await fleet.run(STORED_MS);
      for (let index = 0; index < streamCount; index += 1) {
        expect(await fleet.resume(2 + index % 2, `r${index}`))
          .to.equal(index % 2 === 0 ? "v1" : "v2");
      }
    });
  }

  // The writer took the streams and could not write them.
  it("is known after the writer lost the store and its own node ended", async () => {
    await startMixed();
    fleet.nodes[0]!.hasStore = false;
    fleet.nodes[1]!.begin("r1", "v1");
    await fleet.run(ROUND_MS);
    fleet.kill(1);
    await fleet.run(2 * STORED_MS);
    expect(await fleet.resume(2, "r1")).to.equal("v1");
  });

  it("is known after the store was away while its own node ended", async () => {
    await startMixed();
    fleet.store.isDown = true;
    fleet.nodes[1]!.begin("r1", "v1");
    await fleet.run(STORED_MS);
    fleet.kill(1);
    await fleet.run(STORED_MS);
    fleet.store.isDown = false;
    await fleet.run(2_000);
    expect(await fleet.resume(2, "r1")).to.equal("v1");
  });

  it("is known after its own node was cut off from the others and ended", async () => {
    await startMixed();
    fleet.cutOff(1);
    fleet.nodes[1]!.begin("r1", "v1");
    await fleet.run(1_400);
    fleet.kill(1);
    expect(await fleet.resume(2, "r1")).to.equal("v1");
  });

  it("is written once, and by one node, while nothing fails", async () => {
    await startMixed();
    const writes = fleet.store.writes;
    fleet.nodes[1]!.begin("r1", "v1");
    await fleet.run(4_000);
    expect(fleet.store.writes).to.equal(writes + 1);
  });

  // The mark of a version was written by the first writer only.
  it("is not guessed after a version came and left without the writer", async () => {
    fleet = new TestFleet();
    fleet.setEndpoint("e1", "v1");
    await fleet.run(3_000);
    fleet.kill(0);
    fleet.setEndpoint("e2", "v2");
    await fleet.run(2_000);
    fleet.setEndpoint("e2", undefined);
    await fleet.killAll();
    expect(await fleet.resume(2)).to.equal(UNKNOWN);
  });

  // The writer renewed its own lease, while the mark was under that of a node that
  // had taken itself for the writer, and expired.
  it("is not guessed a while after two nodes took themselves for the writer", async () => {
    fleet = new TestFleet();
    fleet.setEndpoint("e1", "v1");
    await fleet.run(5_000);
    await fleet.usurp(1, 400);
    await fleet.run(70_000);
    fleet.setEndpoint("e1", undefined);
    fleet.setEndpoint("e2", "v2");
    await fleet.run(3_000);
    await fleet.killAll();
    expect(await fleet.resume(2)).to.equal(UNKNOWN);
  });
});
