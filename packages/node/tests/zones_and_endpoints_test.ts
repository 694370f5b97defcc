import { expect } from "chai";
import { describe, it } from "mocha";
import { CRASH_TEXT } from "@limpetshed/stand_ins";
import { type TestAnswer, TestFleet } from "./support/test_fleet.ts";

async function load(
  fleet: TestFleet,
  { count, everyMs, member = "a", maxTokens = 8, nodes = ["n1", "n2"] }: {
    count: number;
    everyMs: number;
    member?: string;
    maxTokens?: number;
    nodes?: string[];
  },
): Promise<Promise<TestAnswer>[]> {
  const answers: Promise<TestAnswer>[] = [];
  for (let sent = 0; sent < count; sent += 1) {
    const node = nodes[sent % nodes.length]!;
    const text = `${member} ${fleet.clock.monotonicMs()}`;
    answers.push(fleet.chat({ node, member, text, maxTokens }));
    await fleet.run(everyMs);
  }
  return answers;
}

describe("availability zones, leaving and cold endpoints", () => {
  it("sends nothing new to a zone that is out, and cuts nothing off", async () => {
    const fleet = await TestFleet.ready();
    const long = Array.from(
      { length: 6 },
      (_, index) =>
        fleet.chat({ node: "n1", text: `long ${index}`, maxTokens: 800 }),
    );
    await fleet.run(500);
    await fleet.settle(
      fleet.patch("n1", 1, { availability_zones: { z1: { state: "out" } } }),
    );
    await fleet.run(3_000);
    const zone = [fleet.model("m1"), fleet.model("m4")];
    const before = zone.map(({ started }) => started);
    const answers = await load(fleet, { count: 40, everyMs: 50 });
    const outcomes = await fleet.settle(Promise.all([...answers, ...long]));
    expect(zone.map(({ started }) => started)).to.deep.equal(before);
    expect(new Set(outcomes.map(({ outcome }) => outcome))).to.deep.equal(
      new Set(["ok"]),
    );
    await fleet.close();
  });

  it("sends nothing new to a leaving endpoint after 3 s", async () => {
    const fleet = await TestFleet.ready();
    fleet.model("m1").drain();
    fleet.listEndpoint("m1", "z1", "chat", "leaving");
    await fleet.run(3_000);
    const before = fleet.model("m1").started;
    const answers = await load(fleet, { count: 40, everyMs: 50 });
    await fleet.settle(Promise.all(answers));
    expect(fleet.model("m1").started).to.equal(before);
    await fleet.close();
  });

  it("never loads a cold endpoint beyond what it bears", async () => {
    const fleet = await TestFleet.ready({
      models: 2,
      model: { completedAtStart: 0, decodeMsPerToken: 5 },
    });
    const answers = await load(fleet, { count: 150, everyMs: 25 });
    const outcomes = await fleet.settle(Promise.all(answers));
    expect(outcomes.filter(({ outcome }) => outcome === "ok")).to.have.length
      .above(100);
    const overloads = fleet.models().map(({ coldOverloads }) => coldOverloads);
    expect(overloads).to.deep.equal([0, 0]);
    await fleet.close();
  });

  it("keeps to the cold limit when all nodes restart at once", async () => {
    const fleet = await TestFleet.ready({
      models: 2,
      model: { completedAtStart: 0, decodeMsPerToken: 5 },
    });
    const first = await load(fleet, { count: 20, everyMs: 50 });
    await fleet.settle(Promise.all(first));
    const ids = [...fleet.nodes.keys()];
    ids.forEach((id) => fleet.kill(id));
    ids.forEach((id) => {
      fleet.list(id, "z1", "gone");
      fleet.list(`${id}b`, "z1");
    });
    await Promise.all(ids.map((id) => fleet.addNode(`${id}b`, "z1")));
    await fleet.run(6_000);
    const nodes = ids.map((id) => `${id}b`);
    const second = await load(fleet, { count: 100, everyMs: 20, nodes });
    const outcomes = await fleet.settle(Promise.all(second));
    expect(outcomes.some(({ outcome }) => outcome === "ok")).to.equal(true);
    const overloads = fleet.models().map(({ coldOverloads }) => coldOverloads);
    expect(overloads).to.deep.equal([0, 0]);
    await fleet.close();
  });

  it("lets one crashing request take down at most two endpoints", async () => {
    const fleet = await TestFleet.ready();
    const beside = await load(fleet, {
      count: 20,
      everyMs: 20,
      maxTokens: 100,
    });
    const outcomes: string[] = [];
    for (let sent = 0; sent < 8; sent += 1) {
      const node = `n${sent % 4 + 1}`;
      const poison = fleet.chat({ node, text: CRASH_TEXT });
      outcomes.push((await fleet.settle(poison)).outcome);
      await fleet.run(500);
    }
    const crashes = fleet.models().reduce((sum, m) => sum + m.crashes, 0);
    expect(crashes).to.be.at.most(2);
    expect(outcomes.at(-1)).to.equal("quarantined");
    await fleet.settle(Promise.all(beside));
    const innocent = await load(fleet, { count: 20, everyMs: 20 });
    const after = await fleet.settle(Promise.all(innocent));
    expect(after.every(({ outcome }) => outcome === "ok")).to.equal(true);
    await fleet.close();
  });
});

describe("context of returning chats", () => {
  const messages = [
    { role: "system", content: "catalogue ".repeat(400) },
    { role: "user", content: "first turn" },
  ];

  it("is copied to where the chat runs next when an endpoint leaves", async () => {
    const fleet = await TestFleet.ready();
    await fleet.settle(fleet.chat({ node: "n1", messages }));
    await fleet.run(1_000);
    const [first] = fleet.models().filter(({ started }) => started > 0);
    const zone = fleet.node("n1").node.endpointDirectory.get(first!.id)!;
    first!.drain();
    fleet.listEndpoint(first!.id, zone.availabilityZone, "chat", "leaving");
    await fleet.run(3_000);
    await fleet.settle(fleet.chat({ node: "n2", messages }));
    const next = fleet.models().filter((engine) =>
      engine !== first && engine.started > 0
    );
    expect(next).to.have.length(1);
    expect(next[0]!.cachedTokens).to.equal(next[0]!.promptTokens);
    await fleet.close();
  });
});

describe("callers that go away", () => {
  it("cancel their work at the endpoint and free its place", async () => {
    const fleet = await TestFleet.ready();
    const caller = new AbortController();
    const chat = fleet.chat({
      node: "n1",
      maxTokens: 1_000,
      signal: caller.signal,
    });
    await fleet.run(200);
    const load = () =>
      fleet.models().reduce((sum, { inFlight }) => sum + inFlight, 0);
    const open = () =>
      [...fleet.nodes.values()].flatMap(({ node }) =>
        node.endpointOwner.owned()
      )
        .reduce((sum, { admissions: ledger }) => sum + ledger.inFlight, 0);
    expect(load()).to.equal(1);
    expect(open()).to.equal(1);
    caller.abort("caller");
    expect((await fleet.settle(chat)).outcome).to.equal("caller_cancelled");
    await fleet.run(500);
    expect(load()).to.equal(0);
    expect(open()).to.equal(0);
    await fleet.close();
  });
});

describe("deadlines", () => {
  it("says not-run when the deadline passed before the start", async () => {
    const fleet = await TestFleet.ready();
    const past = new AbortController();
    past.abort("deadline");
    const answer = await fleet.settle(
      fleet.chat({ node: "n1", signal: past.signal }),
    );
    expect(answer.outcome).to.equal("deadline_before_start");
    expect(answer.run).to.equal("not-run");
    const started = fleet.models().reduce((sum, m) => sum + m.started, 0);
    expect(started).to.equal(0);
    await fleet.close();
  });
});

describe("shares", () => {
  it("gives other members their share while one surges", async () => {
    const share = (tokens: number) => ({
      keys: [],
      services: ["chat"],
      share: tokens,
      burst: 2 * tokens,
    });
    const fleet = await TestFleet.ready({
      models: 2,
      model: { maxConcurrency: 4 },
      config: {
        budget: { tokens_per_second: 1_000 },
        services: {
          chat: { kind: "model", max_in_flight: 4, spare_part: 0.5 },
        },
        members: { a: share(300), b: share(300), c: share(300) },
      },
    });
    await fleet.run(5_000);
    const calm = await load(fleet, { count: 30, everyMs: 200, member: "b" });
    const before = await fleet.settle(Promise.all(calm));
    const surge: Promise<TestAnswer>[] = [];
    const steady: Promise<TestAnswer>[] = [];
    for (let step = 0; step < 30; step += 1) {
      surge.push(
        ...Array.from({ length: 50 }, (_, index) =>
          fleet.chat({
            node: `n${index % 4 + 1}`,
            member: "a",
            text: `surge ${step} ${index}`,
          })),
      );
      steady.push(
        fleet.chat({ node: "n2", member: "b", text: `steady ${step}` }),
      );
      await fleet.run(200);
    }
    const during = await fleet.settle(Promise.all(steady));
    const surged = await fleet.settle(Promise.all(surge));
    expect(before.every(({ outcome }) => outcome === "ok")).to.equal(true);
    expect(during.every(({ outcome }) => outcome === "ok")).to.equal(true);
    const refused = surged.filter(({ outcome }) => outcome !== "ok");
    expect(refused.length).to.be.above(0);
    for (const { outcome, run, retryAfterMs } of refused) {
      expect(outcome).to.be.oneOf(["share_exhausted", "queue_full"]);
      expect(run).to.equal("not-run");
      expect(retryAfterMs).to.be.above(0);
    }
    await fleet.close();
  });
});
