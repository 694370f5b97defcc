import * as http from "node:http";
import {
  listenOn,
  ManualClock,
  SystemClock,
  type Timer,
} from "@limpetshed/base";
import { KeyMirror } from "@limpetshed/mirror";
import { expect } from "chai";
import fc from "fast-check";
import { afterEach, describe, it } from "mocha";
import { decodeUpdate } from "../src/decode_update.ts";
import { PeerChangeSource } from "../src/peer_change_source.ts";
import { CHANGES_WAIT_MS, PeerServer } from "../src/peer_server.ts";

/** Another node, answering as told. */
class OtherNode {
  connections = 0;
  readonly #server: http.Server;

  constructor(answer: (res: http.ServerResponse) => void) {
    this.#server = http.createServer((_req, res) => answer(res));
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

/** Records the delays of timers. */
class TimerClock extends ManualClock {
  readonly delays: number[] = [];

  override setTimer(delayMs: number, fn: () => void): Timer {
    this.delays.push(delayMs);
    return super.setTimer(delayMs, fn);
  }
}

const EMPTY = JSON.stringify({ kind: "changes", changes: [], asOf: 5 });
const { signal } = new AbortController();

describe("calls between nodes", () => {
  const open: { close: () => void }[] = [];

  afterEach(() => {
    open.splice(0).forEach((item) => item.close());
  });

  async function connect(answer: (res: http.ServerResponse) => void) {
    const other = new OtherNode(answer);
    const address = await other.listen();
    const source = new PeerChangeSource({
      clock: new SystemClock(),
      choose: () => address,
    });
    open.push(other, source);
    return { other, source };
  }

  it("keep their connection", async () => {
    const { other, source } = await connect((res) => res.end(EMPTY));
    for (let at = 0; at < 3; at += 1) {
      expect((await source.waitForChanges(4, { signal })).asOf).to.equal(5);
    }
    expect(other.connections).to.equal(1);
  });

  it("leave a connection on which a call failed", async () => {
    let calls = 0;
    const { source } = await connect((res) => {
      calls += 1;
      if (calls === 1) {
        res.destroy();
      } else {
        res.end(EMPTY);
      }
    });
    const first = await source.waitForChanges(4, { signal }).catch((
      err: Error,
    ) => err);
    expect(first).to.be.instanceOf(Error);
    expect((await source.waitForChanges(4, { signal })).asOf).to.equal(5);
  });

  it("take over nothing that is no update", async () => {
    const { source } = await connect((res) => res.end('{"asOf":9}'));
    const got = await source.waitForChanges(4, { signal }).catch((err: Error) =>
      err
    );
    expect((got as Error).message).to.contain("not answer with shared state");
  });

  it("wait for news by the clock that is passed", async () => {
    const clock = new TimerClock();
    const mirror = new KeyMirror();
    mirror.apply({ kind: "snapshot", entries: [], asOf: 3 });
    const server = new PeerServer({ clock, mirror, placements: () => [] });
    const address = await server.listen("127.0.0.1:0");
    open.push(server);
    const answer = fetch(`http://${address}/changes?after=3`);
    while (clock.delays.length === 0) {
      await new Promise(setImmediate);
    }
    expect(clock.delays).to.deep.equal([CHANGES_WAIT_MS]);
    await clock.advance(CHANGES_WAIT_MS);
    expect((await (await answer).json() as { asOf: number }).asOf).to.equal(3);
  });
});

describe("updates of shared state from other nodes", () => {
  it("come through as they were", () => {
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
        const got = decodeUpdate(JSON.parse(text));
        expect(JSON.stringify(got)).to.equal(
          JSON.stringify({ kind: "changes", asOf: revision, changes }),
        );
      }),
    );
  });

  it("are refused with a reason, or make a sound mirror, whatever they hold", () => {
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
          mirror.apply(decodeUpdate(value));
        } catch (err) {
          expect(String(err)).to.contain("did not answer with shared state");
          expect(mirror.asOf).to.equal(0);
          return;
        }
        expect(mirror.asOf).to.be.above(0);
      }),
    );
  });
});
