import * as http from "node:http";
import {
  listenOn,
  ManualClock,
  SystemClock,
  type Timer,
} from "@limpetshed/base";
import { KeyMirror, NO_POSITION } from "@limpetshed/mirror";
import { expect } from "chai";
import fc from "fast-check";
import { afterEach, describe, it } from "mocha";
import { decodeUpdate } from "../src/decode_update.ts";
import { PeerChangeSource } from "../src/peer_change_source.ts";
import { CHANGES_LONG_POLL_MS, PeerServer } from "../src/peer_server.ts";

/** A peer that responds with the given function. */
class FakePeer {
  connections = 0;
  readonly #server: http.Server;

  constructor(respond: (res: http.ServerResponse) => void) {
    this.#server = http.createServer((_req, res) => respond(res));
    this.#server.on("connection", () => {
      this.connections += 1;
    });
  }

  listen(): Promise<string> {
    return listenOn(this.#server, "127.0.0.1:0");
  }

  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }
}

/** Records the delay of each timer that is set. */
class TimerRecordingClock extends ManualClock {
  readonly delays: number[] = [];

  override setTimer(delayMs: number, fn: () => void): Timer {
    this.delays.push(delayMs);
    return super.setTimer(delayMs, fn);
  }
}

const EMPTY_BATCH = JSON.stringify({ kind: "changes", changes: [], asOf: 5 });
const { signal } = new AbortController();

describe("PeerChangeSource and PeerServer", () => {
  const openResources: { close: () => void }[] = [];

  afterEach(() => {
    openResources.splice(0).forEach((item) => item.close());
  });

  async function connect(respond: (res: http.ServerResponse) => void) {
    const peer = new FakePeer(respond);
    const address = await peer.listen();
    const source = new PeerChangeSource({
      clock: new SystemClock(),
      selectPeer: () => address,
    });
    openResources.push(peer, source);
    return { peer, source };
  }

  it("reuse the connection", async () => {
    const { peer, source } = await connect((res) => res.end(EMPTY_BATCH));
    for (let index = 0; index < 3; index += 1) {
      expect(
        (await source.waitForChanges({ era: 0, revision: 4 }, { signal })).asOf,
      ).to.equal(5);
    }
    expect(peer.connections).to.equal(1);
  });

  it("open a new connection after a failed call", async () => {
    let calls = 0;
    const { source } = await connect((res) => {
      calls += 1;
      if (calls === 1) {
        res.destroy();
      } else {
        res.end(EMPTY_BATCH);
      }
    });
    const first = await source.waitForChanges({ era: 0, revision: 4 }, {
      signal,
    }).catch((
      err: Error,
    ) => err);
    expect(first).to.be.instanceOf(Error);
    expect(
      (await source.waitForChanges({ era: 0, revision: 4 }, { signal })).asOf,
    ).to.equal(5);
  });

  it("reject a response that is not an update", async () => {
    const { source } = await connect((res) => res.end('{"asOf":9}'));
    const error = await source.waitForChanges({ era: 0, revision: 4 }, {
      signal,
    }).catch((
      err: Error,
    ) => err);
    expect((error as Error).message).to.contain(
      "invalid shared-state update from peer",
    );
  });

  it("add up the age of the state over several nodes", async () => {
    const clock = new ManualClock();
    await clock.advance(5_000);
    const mirror = new KeyMirror();
    const update = { kind: "snapshot" as const, entries: [], asOf: 3 };
    mirror.apply(update, { receivedMs: 4_400, confirmedMs: 4_200 });
    const server = new PeerServer({ clock, mirror, placements: () => [] });
    const address = await server.listen("127.0.0.1:0");
    const source = new PeerChangeSource({ clock, selectPeer: () => address });
    openResources.push(server, source);
    const { ageMs, sender } = await source.waitForChanges({
      era: 0,
      revision: 2,
    }, { signal });
    expect(ageMs).to.equal(800);
    expect(sender).to.equal(address);
  });

  it("take a state whose age is not valid for an old one", async () => {
    const { source } = await connect((res) => {
      res.setHeader("limpetshed-state-age-ms", "soon");
      res.end(EMPTY_BATCH);
    });
    const { ageMs } = await source.waitForChanges({ era: 0, revision: 4 }, {
      signal,
    });
    expect(ageMs).to.equal(Number.POSITIVE_INFINITY);
  });

  it("transfer a large update compressed", async () => {
    const value = JSON.stringify(Array.from({ length: 2_000 }, (_, i) => i));
    const mirror = new KeyMirror();
    const entries = [{ key: "a", value, revision: 3 }];
    mirror.apply({ kind: "snapshot", entries, asOf: 3 });
    const clock = new SystemClock();
    const server = new PeerServer({ clock, mirror, placements: () => [] });
    const address = await server.listen("127.0.0.1:0");
    const source = new PeerChangeSource({ clock, selectPeer: () => address });
    openResources.push(server, source);
    const update = await source.readAll({ signal });
    expect(update).to.deep.include({ kind: "snapshot", asOf: 3, entries });
    const response = await fetch(`http://${address}/changes?after=0`);
    expect(response.headers.get("content-encoding")).to.equal("gzip");
  });

  it("time the long poll by the injected clock", async () => {
    const clock = new TimerRecordingClock();
    const mirror = new KeyMirror();
    mirror.apply({ kind: "snapshot", entries: [], asOf: 3 });
    const server = new PeerServer({ clock, mirror, placements: () => [] });
    const address = await server.listen("127.0.0.1:0");
    openResources.push(server);
    const response = fetch(`http://${address}/changes?after=3`);
    while (clock.delays.length === 0) {
      await new Promise(setImmediate);
    }
    expect(clock.delays).to.deep.equal([CHANGES_LONG_POLL_MS]);
    await clock.advance(CHANGES_LONG_POLL_MS);
    expect((await (await response).json() as { asOf: number }).asOf).to.equal(
      3,
    );
  });
});

describe("decodeUpdate", () => {
  it("returns valid updates unchanged", () => {
    const change = fc.record({
      key: fc.string(),
      value: fc.option(fc.string(), { nil: undefined }),
      revision: fc.integer({ min: 1 }),
    });
    const asOf = fc.integer({ min: 1 });
    fc.assert(
      fc.property(fc.array(change), asOf, (changes, revision) => {
        const sent = { kind: "changes" as const, changes, asOf: revision };
        const text = JSON.stringify(sent);
        const decoded = decodeUpdate(JSON.parse(text), { after: NO_POSITION });
        expect(JSON.stringify(decoded)).to.equal(
          JSON.stringify({ kind: "changes", asOf: revision, changes, era: 0 }),
        );
      }),
    );
  });

  it("rejects arbitrary input or returns an applicable update", () => {
    const update = fc.record({
      kind: fc.constantFrom("changes", "snapshot", "other", 1),
      asOf: fc.oneof(fc.integer(), fc.anything()),
      changes: fc.oneof(
        fc.array(fc.record({
          key: fc.oneof(fc.string(), fc.anything()),
          value: fc.oneof(fc.string(), fc.anything()),
          revision: fc.oneof(fc.nat(), fc.anything()),
        })),
        fc.anything(),
      ),
      entries: fc.oneof(fc.array(fc.anything()), fc.anything()),
    }, { requiredKeys: [] });
    fc.assert(
      fc.property(fc.oneof(update, fc.anything()), (value) => {
        const mirror = new KeyMirror();
        try {
          mirror.apply(decodeUpdate(value, { after: mirror.position }));
        } catch (err) {
          expect(String(err)).to.contain(
            "invalid shared-state update from peer",
          );
          expect(mirror.asOf).to.equal(0);
          return;
        }
        expect(mirror.asOf).to.be.above(0);
      }),
    );
  });
});
