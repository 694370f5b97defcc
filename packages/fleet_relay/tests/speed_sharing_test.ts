import { Buffer } from "node:buffer";
import { ManualClock } from "@limpetshed/base";
import { EndpointSpeeds } from "@limpetshed/dispatch";
import {
  decodeLimitMessage,
  decodeLoadMessage,
  decodeSpeedMessage,
  decodeStreamMessage,
  encodeSpeedMessage,
  type Peer,
} from "@limpetshed/fleet";
import { makeLogger } from "@limpetshed/observe";
import { expect } from "chai";
import { describe, it } from "mocha";
import { SpeedSharing } from "../src/speed_sharing.ts";

/** Creates a node in zone "a" with peers in three zones. */
function createNode(peerCount: number, clock = new ManualClock()) {
  const speeds = new EndpointSpeeds({ clock });
  const sent = new Map<string, Buffer[]>();
  const peers = Array.from({ length: peerCount }, (_, index) => ({
    availabilityZone: "abc"[index % 3]!,
    datagramAddress: `10.0.0.${index}:1`,
  })) as Peer[];
  const sharing = new SpeedSharing({
    clock,
    logger: makeLogger({ destination: { write: () => undefined } }),
    availabilityZone: "a",
    directory: { peers: () => peers },
    speeds,
    isEndpoint: (key) => key.startsWith("e"),
    send: (address, datagrams) =>
      sent.set(address, [...sent.get(address) ?? [], ...datagrams]),
  });
  return { clock, speeds, sharing, sent };
}

describe("SpeedSharing", () => {
  it("sends nothing while endpoints report no speed", async () => {
    const { clock, sent } = createNode(30);
    await clock.advance(5_000);
    expect(sent.size).to.equal(0);
  });

  it("passes reports on to all nodes of its zone, and to no other", async () => {
    const { clock, speeds, sent, sharing } = createNode(96);
    speeds.record("e1", 4);
    await clock.advance(2_500);
    await sharing.close();
    expect(sent.size).to.equal(32);
    expect(
      [...sent.keys()].every((address) =>
        Number(address.split(/[.:]/)[3]) % 3 === 0
      ),
    ).to.equal(true);
    expect(Math.max(...[...sent.values()].map(({ length }) => length)))
      .to.be.at.most(2);
  });

  it("makes a slow endpoint known after one report to each of three", async () => {
    const clock = new ManualClock();
    const nodes = Array.from({ length: 3 }, () => createNode(1, clock));
    const [first, ...others] = nodes;
    for (const { speeds, sent } of [...others, first!]) {
      speeds.record("e1", 4);
      speeds.record("x1", 4);
      await clock.advance(1_000);
      if (speeds !== first!.speeds) {
        for (const data of [...sent.values()].flat()) {
          expect(first!.sharing.receive(data)).to.equal(true);
        }
      }
    }
    expect(first!.speeds.estimate("e1")!.low).to.equal(4);
    expect(first!.speeds.estimate("x1")!.lasting).to.equal(1);
    await Promise.all(nodes.map(({ sharing }) => sharing.close()));
  });
});

describe("encodeSpeedMessage", () => {
  const entry = { endpoint: "e1/1", slowness: 2.5, ageMs: 40 };

  it("fits into one datagram that other builds pass over", () => {
    const data = encodeSpeedMessage(Array(200).fill(entry))!;
    expect(data.length).to.be.at.most(1_200);
    for (
      const decode of [
        decodeLoadMessage,
        decodeLimitMessage,
        decodeStreamMessage,
      ]
    ) {
      expect(decode(data)).to.equal(undefined);
    }
    expect(decodeSpeedMessage(data)![0]).to.deep.equal(entry);
    expect(encodeSpeedMessage([])).to.equal(undefined);
  });

  it("leaves out what is malformed", () => {
    for (const text of ["", "[]", '["x"]', "{}", "[3,[]]"]) {
      expect(decodeSpeedMessage(Buffer.from(text))).to.equal(undefined);
    }
    const flat = ["speeds", 1, 100, 0, "e1", 0, 0, "e1", "9", 0, "e1", 90, -1];
    const data = Buffer.from(JSON.stringify([...flat, "e2", 130, 5, "e3"]));
    expect(decodeSpeedMessage(data)).to.deep.equal([
      { endpoint: "e2", slowness: 1.3, ageMs: 5 },
    ]);
  });
});
