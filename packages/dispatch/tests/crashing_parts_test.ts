import { ManualClock } from "@limpetshed/base";
import { initHashing, Rng } from "@limpetshed/hashing";
import { expect } from "chai";
import { before, describe, it } from "mocha";
import type { CrashReport } from "../src/crash_report.ts";
import { CrashSuspects } from "../src/crash_suspects.ts";
import { promptTraits } from "../src/crash_traits.ts";

const SERVICE = "chat";

/** Part traits of a prompt with the given shared parts and one of its own. */
function traitsOf(...parts: string[]): string[] {
  return promptTraits(SERVICE, {
    model: "m",
    promptTokens: 0,
    maxOutputTokens: 0,
    parts: [...parts, "own"].map((id) => ({ id, tokens: 1 })),
  });
}

/** One node, with the requests that it has in flight. */
class Node {
  readonly clock: ManualClock;
  readonly suspects: CrashSuspects;
  #trials: string[] = [];

  constructor(
    { clock = new ManualClock(), nodeId = "n1", nodeIds = ["n1"], onDropped }: {
      clock?: ManualClock;
      nodeId?: string;
      nodeIds?: string[];
      onDropped?: (dropped: { reports: number; traits: number }) => void;
    } = {},
  ) {
    this.clock = clock;
    this.suspects = new CrashSuspects({
      clock,
      nodeId,
      nodeIds: () => nodeIds,
      onDropped,
    });
  }

  allows(...parts: string[]): boolean {
    return this.suspects.verdict(traitsOf(...parts)).outcome === "allowed";
  }

  complete(...parts: string[]): void {
    this.suspects.recordCompleted(SERVICE, traitsOf(...parts));
  }

  /** Runs requests at an endpoint for `ms`, at the end of which it crashes. */
  async crash(
    endpoint: string,
    prompts: readonly string[][],
    ms = 100,
  ): Promise<void> {
    const sentMs = this.clock.monotonicMs();
    // The first prompt is the one that crashes the endpoint.
    const traits = traitsOf(...prompts[0]!);
    this.#trials = this.suspects.begin(traits);
    await this.clock.advance(ms);
    this.suspects.end(traits);
    this.lose(endpoint, prompts, sentMs);
    this.#trials = [];
    this.suspects.recordEndpointDown(endpoint);
  }

  lose(
    endpoint: string,
    prompts: readonly string[][],
    sentMs = this.clock.monotonicMs(),
  ): void {
    for (const parts of prompts) {
      this.suspects.recordLostResponse({
        traits: traitsOf(...parts),
        trials: this.#trials,
        endpoint,
        sentMs,
      });
    }
  }
}

describe("CrashSuspects given parts of prompts", () => {
  before(initHashing);

  for (
    const [place, parts] of [
      ["first", ["bad", "a", "b"]],
      ["in the middle", ["a", "bad", "b"]],
      ["next to last", ["a", "b", "bad"]],
    ] as const
  ) {
    it(`refuses a part that stands ${place} after three crashes`, async () => {
      const node = new Node();
      for (const endpoint of ["e1", "e2", "e3"]) {
        expect(node.allows(...parts)).to.equal(true);
        await node.crash(endpoint, [[...parts]]);
        node.complete("a", "b");
      }
      expect(node.allows(...parts)).to.equal(false);
      expect(node.allows("x", "bad")).to.equal(false);
      expect(node.allows("a", "b")).to.equal(true);
    });
  }

  it("has no trait for the last part", () => {
    expect(traitsOf()).to.deep.equal([]);
    expect(traitsOf("a")).to.deep.equal(["chat/a"]);
  });

  it("separates one bad part from all that ran beside it", async () => {
    for (let seed = 1; seed <= 50; seed += 1) {
      const rng = new Rng(seed);
      const node = new Node();
      const soundPrompt = () => ["common", `topic-${rng.int(60)}`];
      const soundPrompts = (count: number) =>
        Array.from({ length: count }, soundPrompt);
      let crashes = 0;
      while (node.allows("common", "bad")) {
        crashes += 1;
        await node.crash(`e${crashes}`, [
          ["common", "bad"],
          ...soundPrompts(10),
        ]);
        soundPrompts(15).forEach((prompt) => node.complete(...prompt));
      }
      expect(crashes, `crashes, seed ${seed}`).to.be.below(5);
      for (let topic = 0; topic < 60; topic += 1) {
        expect(node.allows("common", `topic-${topic}`)).to.equal(true);
      }
    }
  });

  it("keeps a shared part in use whose requests all had the bad one so far", async () => {
    const node = new Node();
    for (const endpoint of ["e1", "e2", "e3"]) {
      await node.crash(endpoint, [["shared", "bad"]]);
    }
    expect(node.allows("shared", "bad")).to.equal(false);
    // Either part may be the reason, so one request with each is tried.
    expect(node.allows("shared")).to.equal(true);
    node.suspects.begin(traitsOf("shared"));
    expect(node.allows("shared")).to.equal(false);
    node.suspects.end(traitsOf("shared"));
    node.complete("shared");
    expect(node.allows("shared")).to.equal(true);
    expect(node.allows("bad")).to.equal(false);
  });

  it("finds two bad parts at once", async () => {
    const node = new Node();
    for (let i = 0; i < 3; i += 1) {
      await node.crash(`a${i}`, [["common", "bad-1"], ["common", `x${i}`]]);
      await node.crash(`b${i}`, [["common", "bad-2"], ["common", "y"]]);
      node.complete("common", "z");
    }
    // It ran beside one of them each time.
    expect(node.allows("common", "y")).to.equal(true);
    node.complete("common", "y");
    expect(node.allows("common", "bad-1")).to.equal(false);
    expect(node.allows("common", "bad-2")).to.equal(false);
    expect(node.allows("common", "x1")).to.equal(true);
    expect(node.allows("common", "y")).to.equal(true);
  });

  it("finds two bad parts in one prompt", async () => {
    const node = new Node();
    let crashes = 0;
    const send = async (...parts: string[]) => {
      if (node.allows(...parts)) {
        crashes += 1;
        await node.crash(`e${crashes}`, [parts]);
      }
    };
    for (let i = 0; i < 10; i += 1) {
      await send("bad-1", "bad-2");
      await send("bad-1", `x${i}`);
      await send("bad-2", `y${i}`);
    }
    expect(crashes).to.be.at.most(5);
  });

  it("never refuses a common part when a zone loses power", async () => {
    const node = new Node();
    const sentMs = node.clock.monotonicMs();
    await node.clock.advance(200);
    for (let endpoint = 0; endpoint < 20; endpoint += 1) {
      node.lose(`e${endpoint}`, [["system", "new"]], sentMs);
      node.suspects.recordEndpointDown(`e${endpoint}`);
    }
    expect(node.allows("system", "new")).to.equal(true);
    expect(node.allows("system")).to.equal(true);
  });

  it("never refuses a common part while endpoints are replaced in turn", async () => {
    const node = new Node();
    node.complete("system", "topic");
    for (let endpoint = 0; endpoint < 20; endpoint += 1) {
      await node.crash(`e${endpoint}`, [["system", "topic"], ["system"]], 500);
      expect(node.allows("system", "topic")).to.equal(true);
      node.complete("system", "topic");
    }
  });

  it("never refuses a common part while every request fails", async () => {
    const node = new Node();
    node.complete("system");
    for (let endpoint = 0; endpoint < 20; endpoint += 1) {
      await node.crash(`e${endpoint}`, [["system"]], 500);
      expect(node.allows("system")).to.equal(true);
    }
  });

  it("refuses a proven part that begins to crash endpoints", async () => {
    const node = new Node();
    node.complete("turned");
    for (let endpoint = 0; endpoint < 4; endpoint += 1) {
      await node.crash(`e${endpoint}`, [["turned"]]);
      node.complete("x");
      node.complete("y");
    }
    expect(node.allows("turned")).to.equal(false);
  });

  it("counts a crash before the first byte and one within the response", async () => {
    const node = new Node();
    for (const [index, answeringMs] of [undefined, 40, 600].entries()) {
      node.suspects.recordLostResponse({
        traits: traitsOf("bad"),
        endpoint: `e${index}`,
        sentMs: node.clock.monotonicMs(),
        answeringMs,
      });
      await node.clock.advance(100);
      node.suspects.recordEndpointDown(`e${index}`);
    }
    expect(node.allows("bad")).to.equal(false);
  });

  it("does not suspect the parts of a response that had gone on for long", async () => {
    const node = new Node();
    for (let index = 0; index < 10; index += 1) {
      node.suspects.recordLostResponse({
        traits: traitsOf("long"),
        endpoint: `e${index}`,
        sentMs: node.clock.monotonicMs(),
        answeringMs: 2_500,
      });
      node.suspects.recordEndpointDown(`e${index}`);
      await node.clock.advance(100);
    }
    expect(node.allows("long")).to.equal(true);
  });

  it("does not count lost connections, slow endpoints or partitions", async () => {
    const node = new Node();
    for (let index = 0; index < 10; index += 1) {
      node.lose(`e${index}`, [["popular"]]);
      await node.clock.advance(3_100);
    }
    expect(node.allows("popular")).to.equal(true);
    expect(node.suspects.hasCrashes).to.equal(false);
  });

  it("allows one trial after the refusal, which a crash ends at once", async () => {
    const node = new Node();
    for (const endpoint of ["e1", "e2", "e3"]) {
      await node.crash(endpoint, [["bad"]]);
    }
    await node.clock.advance(60_000);
    expect(node.allows("bad")).to.equal(true);
    node.suspects.begin(traitsOf("bad"));
    expect(node.allows("bad")).to.equal(false);
    await node.crash("e4", [["bad"]]);
    node.suspects.end(traitsOf("bad"));
    expect(node.allows("bad")).to.equal(false);
    await node.clock.advance(119_000);
    expect(node.allows("bad")).to.equal(false);
  });

  it("ends a wrong suspicion with the first complete response", async () => {
    const node = new Node();
    for (const endpoint of ["e1", "e2", "e3"]) {
      await node.crash(endpoint, [["innocent"]]);
    }
    await node.clock.advance(60_000);
    expect(node.allows("innocent")).to.equal(true);
    node.complete("innocent");
    node.suspects.begin(traitsOf("innocent"));
    expect(node.allows("innocent")).to.equal(true);
  });

  it("stays bounded whatever ids clients send", async () => {
    const node = new Node();
    const long = "x".repeat(10_000);
    const parts = Array.from({ length: 1_000 }, (_, i) => `${long}${i}`);
    const traits = traitsOf(...parts);
    expect(traits.length).to.be.at.most(32);
    expect(Math.max(...traits.map(({ length }) => length))).to.be.below(100);
    for (let index = 0; index < 500; index += 1) {
      await node.crash(`e${index}`, [[`${index}`, `${index}-b`]], 1);
    }
    expect(node.suspects.takeReports()().length).to.be.at.most(128);
    expect(node.suspects.repeatedReports().length).to.be.at.most(24);
  });
});

// Evidence of one crash displaced that of several, and a node that lost more than 64
// responses with an endpoint forgot the first of them.
describe("CrashSuspects given more evidence than they keep", () => {
  before(initHashing);

  it("keep what several crashes have in common", async () => {
    const node = new Node();
    await node.crash("e1", [["bad"]]);
    await node.crash("e2", [["bad"]]);
    for (let endpoint = 0; endpoint < 40; endpoint += 1) {
      const prompts = Array.from(
        { length: 512 },
        (_, index) => [`bystander-${endpoint}-${index}`],
      );
      node.lose(`f${endpoint}`, prompts);
      node.suspects.recordEndpointDown(`f${endpoint}`);
    }
    await node.crash("e3", [["bad"]]);
    expect(node.allows("bad")).to.equal(false);
  });

  it("tell how much was dropped", async () => {
    const dropped = { reports: 0, traits: 0 };
    const node = new Node({
      onDropped: ({ reports, traits }) => {
        dropped.reports += reports;
        dropped.traits += traits;
      },
    });
    for (let endpoint = 0; endpoint < 20; endpoint += 1) {
      const prompts = Array.from(
        { length: 512 },
        (_, index) => [`bystander-${endpoint}-${index}`],
      );
      await node.crash(`e${endpoint}`, prompts);
    }
    node.suspects.takeReports();
    expect(dropped).to.deep.equal({
      reports: 20 * 512 - 4_096,
      traits: 20 * 512 - 8_000,
    });
  });

  it("count each of the requests that an endpoint lost", async () => {
    const node = new Node();
    for (const endpoint of ["e1", "e2", "e3"]) {
      const bystanders = Array.from(
        { length: 127 },
        (_, index) => [`bystander-${endpoint}-${index}`],
      );
      await node.crash(endpoint, [["bad"], ...bystanders]);
    }
    expect(node.allows("bad")).to.equal(false);
  });
});

/** Nodes that exchange reports, of which `loses` decides which get lost. */
class Fleet {
  readonly clock = new ManualClock();
  readonly nodes: Node[];

  constructor(size: number) {
    const nodeIds = Array.from({ length: size }, (_, i) => `n${i}`);
    this.nodes = nodeIds.map((nodeId) =>
      new Node({ clock: this.clock, nodeId, nodeIds })
    );
  }

  /** Sends all reports, twice, and those repeated each second. */
  exchange(loses: () => boolean = () => false): void {
    for (const { suspects } of this.nodes) {
      const reports: CrashReport[] = [
        ...suspects.takeReports()(),
        ...suspects.repeatedReports(),
      ];
      for (const other of this.nodes) {
        if (other.suspects !== suspects && !loses()) {
          other.suspects.applyPeerReports(reports);
          other.suspects.applyPeerReports(reports);
        }
      }
    }
  }
}

describe("CrashSuspects of several nodes", () => {
  before(initHashing);

  it("count crashes of the fleet, each once", async () => {
    const fleet = new Fleet(4);
    for (let index = 0; index < 3; index += 1) {
      expect(fleet.nodes.every((node) => node.allows("common", "bad")))
        .to.equal(true);
      await fleet.nodes[index]!.crash(`e${index}`, [["common", "bad"]]);
      fleet.nodes[3]!.complete("common");
      fleet.exchange();
    }
    fleet.exchange();
    for (const node of fleet.nodes) {
      expect(node.allows("common", "bad")).to.equal(false);
      expect(node.allows("common")).to.equal(true);
    }
  });

  it("tell a node that joins or restarts", async () => {
    const fleet = new Fleet(4);
    for (const endpoint of ["e1", "e2", "e3"]) {
      await fleet.nodes[0]!.crash(endpoint, [["bad"]]);
    }
    fleet.exchange();
    const joined = new Node({ clock: fleet.clock });
    fleet.nodes.push(joined);
    await fleet.clock.advance(1_000);
    fleet.exchange();
    expect(joined.allows("bad")).to.equal(false);
  });

  it("tell all of a hundred nodes though most reports get lost", async () => {
    const fleet = new Fleet(100);
    for (const endpoint of ["e1", "e2", "e3"]) {
      await fleet.nodes[0]!.crash(endpoint, [["bad"]]);
    }
    const rng = new Rng(7);
    for (let second = 0; second < 3; second += 1) {
      fleet.exchange(() => rng.fraction() < 2 / 3);
      await fleet.clock.advance(1_000);
    }
    expect(fleet.nodes.every((node) => !node.allows("bad"))).to.equal(true);
  });

  it("add up crashes of which each node knows only some", async () => {
    const fleet = new Fleet(3);
    const [first, second, third] = fleet.nodes;
    await first!.crash("e1", [["bad"]]);
    third!.suspects.applyPeerReports(first!.suspects.takeReports()());
    await second!.crash("e2", [["bad"]]);
    third!.suspects.applyPeerReports(second!.suspects.takeReports()());
    // Only the third node knows of both; it tells the others.
    fleet.exchange();
    await first!.crash("e3", [["bad"]]);
    fleet.exchange();
    expect(fleet.nodes.some((node) => node.allows("bad"))).to.equal(false);
  });

  it("take the report of a node for the end of an endpoint", async () => {
    const fleet = new Fleet(2);
    const [first, second] = fleet.nodes;
    for (const endpoint of ["e1", "e2", "e3"]) {
      // The second node could not find out whether the endpoint is down.
      second!.lose(endpoint, [["bad"]]);
      await first!.crash(endpoint, [[`bystander-${endpoint}`]]);
      fleet.exchange();
    }
    expect(second!.allows("bad")).to.equal(false);
  });

  it("clear a part everywhere, also where a report of it arrives later", async () => {
    const fleet = new Fleet(3);
    for (const endpoint of ["e1", "e2", "e3"]) {
      await fleet.nodes[0]!.crash(endpoint, [["innocent"]]);
    }
    const late = fleet.nodes[0]!.suspects.repeatedReports();
    fleet.exchange();
    expect(fleet.nodes[1]!.allows("innocent")).to.equal(false);
    fleet.nodes[2]!.complete("innocent");
    fleet.exchange();
    fleet.nodes.forEach(({ suspects }) => suspects.applyPeerReports(late));
    fleet.exchange();
    expect(fleet.nodes.every((node) => node.allows("innocent"))).to.equal(true);
  });

  it("do not add up the crashes of a part that other nodes answer", async () => {
    const fleet = new Fleet(3);
    for (let index = 0; index < 10; index += 1) {
      await fleet.nodes[0]!.crash(`e${index}`, [["rare"]]);
      fleet.exchange();
      fleet.nodes[2]!.complete("rare");
      fleet.exchange();
      expect(fleet.nodes.every((node) => node.allows("rare"))).to.equal(true);
    }
  });

  it("do not try a part at the same time after its refusal", async () => {
    const fleet = new Fleet(4);
    for (const endpoint of ["e1", "e2", "e3"]) {
      await fleet.nodes[0]!.crash(endpoint, [["bad"]]);
    }
    fleet.exchange();
    await fleet.clock.advance(60_000);
    const trying = fleet.nodes.filter((node) => node.allows("bad"));
    expect(trying.length).to.equal(1);
    await trying[0]!.crash("e4", [["bad"]]);
    fleet.exchange();
    await fleet.clock.advance(10_000);
    expect(fleet.nodes.some((node) => node.allows("bad"))).to.equal(false);
  });
});
