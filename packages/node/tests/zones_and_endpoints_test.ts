import { expect } from "chai";
import { describe, it } from "mocha";
import { CRASH_TEXT } from "@limpetshed/stand_ins";
import { type RequestResult, TestFleet } from "./support/test_fleet.ts";

/** Sends `count` chats at a fixed interval; returns their pending results. */
async function sendChats(
  fleet: TestFleet,
  { count, intervalMs, member = "a", maxTokens = 8, nodes = ["n1", "n2"] }: {
    count: number;
    intervalMs: number;
    member?: string;
    maxTokens?: number;
    nodes?: string[];
  },
): Promise<Promise<RequestResult>[]> {
  const results: Promise<RequestResult>[] = [];
  for (let sent = 0; sent < count; sent += 1) {
    const node = nodes[sent % nodes.length]!;
    const text = `${member} ${fleet.clock.monotonicMs()}`;
    results.push(fleet.chat({ node, member, text, maxTokens }));
    await fleet.run(intervalMs);
  }
  return results;
}

describe("availability zones, leaving and cold endpoints", () => {
  it("starts nothing in a zone that is out and interrupts nothing", async () => {
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
    const zoneModels = [fleet.model("m1"), fleet.model("m4")];
    const before = zoneModels.map(({ started }) => started);
    const results = await sendChats(fleet, { count: 40, intervalMs: 50 });
    const outcomes = await fleet.settle(Promise.all([...results, ...long]));
    expect(zoneModels.map(({ started }) => started)).to.deep.equal(before);
    expect(new Set(outcomes.map(({ outcome }) => outcome))).to.deep.equal(
      new Set(["ok"]),
    );
    await fleet.close();
  });

  it("starts nothing at a leaving endpoint after 3 s", async () => {
    const fleet = await TestFleet.ready();
    fleet.model("m1").drain();
    fleet.listEndpoint("m1", "z1", "chat", "leaving");
    await fleet.run(3_000);
    const before = fleet.model("m1").started;
    const results = await sendChats(fleet, { count: 40, intervalMs: 50 });
    await fleet.settle(Promise.all(results));
    expect(fleet.model("m1").started).to.equal(before);
    await fleet.close();
  });

  it("does not overload a cold endpoint", async () => {
    const fleet = await TestFleet.ready({
      models: 2,
      model: { completedAtStart: 0, decodeMsPerToken: 5 },
    });
    const results = await sendChats(fleet, { count: 150, intervalMs: 25 });
    const outcomes = await fleet.settle(Promise.all(results));
    expect(outcomes.filter(({ outcome }) => outcome === "ok")).to.have.length
      .above(100);
    const overloads = fleet.models().map(({ coldOverloads }) => coldOverloads);
    expect(overloads).to.deep.equal([0, 0]);
    await fleet.close();
  });

  it("keeps the cold-start limit when all nodes restart at once", async () => {
    const fleet = await TestFleet.ready({
      models: 2,
      model: { completedAtStart: 0, decodeMsPerToken: 5 },
    });
    const first = await sendChats(fleet, { count: 20, intervalMs: 50 });
    await fleet.settle(Promise.all(first));
    const ids = [...fleet.nodes.keys()];
    ids.forEach((id) => fleet.kill(id));
    ids.forEach((id) => {
      fleet.listNode(id, "z1", "gone");
      fleet.listNode(`${id}b`, "z1");
    });
    await Promise.all(ids.map((id) => fleet.addNode(`${id}b`, "z1")));
    await fleet.run(6_000);
    const nodes = ids.map((id) => `${id}b`);
    const second = await sendChats(fleet, {
      count: 100,
      intervalMs: 20,
      nodes,
    });
    const outcomes = await fleet.settle(Promise.all(second));
    expect(outcomes.some(({ outcome }) => outcome === "ok")).to.equal(true);
    const overloads = fleet.models().map(({ coldOverloads }) => coldOverloads);
    expect(overloads).to.deep.equal([0, 0]);
    await fleet.close();
  });

  it("lets a poison request crash at most two endpoints", async () => {
    const fleet = await TestFleet.ready();
    const background = await sendChats(fleet, {
      count: 20,
      intervalMs: 20,
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
    await fleet.settle(Promise.all(background));
    const harmless = await sendChats(fleet, { count: 20, intervalMs: 20 });
    const after = await fleet.settle(Promise.all(harmless));
    expect(after.every(({ outcome }) => outcome === "ok")).to.equal(true);
    await fleet.close();
  });
});

describe("cached context of chats", () => {
  const messages = [
    { role: "system", content: "catalogue ".repeat(400) },
    { role: "user", content: "first turn" },
  ];

  it("is copied to the next endpoint when an endpoint leaves", async () => {
    const fleet = await TestFleet.ready();
    await fleet.settle(fleet.chat({ node: "n1", messages }));
    await fleet.run(1_000);
    const [first] = fleet.models().filter(({ started }) => started > 0);
    const info = fleet.node("n1").node.endpointDirectory.get(first!.id)!;
    first!.drain();
    fleet.listEndpoint(first!.id, info.availabilityZone, "chat", "leaving");
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

describe("callers that disconnect", () => {
  it("have their request cancelled and its admission released", async () => {
    const fleet = await TestFleet.ready();
    const caller = new AbortController();
    const chat = fleet.chat({
      node: "n1",
      maxTokens: 1_000,
      signal: caller.signal,
    });
    await fleet.run(200);
    const totalInFlight = () =>
      fleet.models().reduce((sum, { inFlight }) => sum + inFlight, 0);
    const openAdmissions = () =>
      [...fleet.nodes.values()].flatMap(({ node }) =>
        node.endpointOwner.owned()
      )
        .reduce((sum, { admissions }) => sum + admissions.inFlight, 0);
    expect(totalInFlight()).to.equal(1);
    expect(openAdmissions()).to.equal(1);
    caller.abort("caller");
    expect((await fleet.settle(chat)).outcome).to.equal("caller_cancelled");
    await fleet.run(500);
    expect(totalInFlight()).to.equal(0);
    expect(openAdmissions()).to.equal(0);
    await fleet.close();
  });
});

describe("deadlines", () => {
  it("reports not-run if the deadline passes before the start", async () => {
    const fleet = await TestFleet.ready();
    const expired = new AbortController();
    expired.abort("deadline");
    const result = await fleet.settle(
      fleet.chat({ node: "n1", signal: expired.signal }),
    );
    expect(result.outcome).to.equal("deadline_before_start");
    expect(result.run).to.equal("not-run");
    const started = fleet.models().reduce((sum, m) => sum + m.started, 0);
    expect(started).to.equal(0);
    await fleet.close();
  });
});

describe("shares", () => {
  it("gives a member its share while another member surges", async () => {
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
    const calm = await sendChats(fleet, {
      count: 30,
      intervalMs: 200,
      member: "b",
    });
    const before = await fleet.settle(Promise.all(calm));
    const surge: Promise<RequestResult>[] = [];
    const steady: Promise<RequestResult>[] = [];
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
    const surgeResults = await fleet.settle(Promise.all(surge));
    expect(before.every(({ outcome }) => outcome === "ok")).to.equal(true);
    expect(during.every(({ outcome }) => outcome === "ok")).to.equal(true);
    const rejected = surgeResults.filter(({ outcome }) => outcome !== "ok");
    expect(rejected.length).to.be.above(0);
    for (const { outcome, run, retryAfterMs } of rejected) {
      expect(outcome).to.be.oneOf(["share_exhausted", "queue_full"]);
      expect(run).to.equal("not-run");
      expect(retryAfterMs).to.be.above(0);
    }
    await fleet.close();
  });
});
