import { ManualClock } from "@limpetshed/base";
import { expect } from "chai";
import { before, describe, it } from "mocha";
import { LastSharedPolicy } from "../src/baseline_policies.ts";
import { type Endpoint, EndpointRegistry } from "../src/endpoint_registry.ts";
import { LoadTracker } from "../src/load_tracker.ts";
import { PrefixCacheIndex } from "../src/prefix_cache_index.ts";
import { PrefixPolicy } from "../src/prefix_policy.ts";
import type { PromptInfo } from "../src/prompt_info.ts";
import { rankEndpoints } from "../src/rank_endpoints.ts";
import { entry, prompt, ready } from "./fixtures.ts";

/** A node's view; several share a registry, as nodes share the store. */
function node(registry: EndpointRegistry, clock: ManualClock) {
  const board = new LoadTracker({ clock });
  const holders = new PrefixCacheIndex({ clock });
  const policy = new PrefixPolicy({
    loads: board,
    cacheIndex: holders,
    availabilityZone: "a",
    loadMultiple: 2,
    findEndpoint: (key) => registry.getByKey(key),
  });
  const place = (facts: PromptInfo | undefined, service = "model") =>
    policy.place({
      service,
      prompt: facts,
      members: registry.members(service),
      candidates: registry.usable(service),
    });
  return { board, holders, policy, place };
}

function fleet(endpoints: number, nodes = 1) {
  const clock = new ManualClock();
  const registry = new EndpointRegistry({ clock });
  for (let at = 0; at < endpoints; at += 1) {
    registry.put(entry(`e${at}`));
  }
  const all = Array.from({ length: nodes }, () => node(registry, clock));
  return { clock, registry, nodes: all, first: all[0]! };
}

/** Prompt tokens that endpoints read, as they keep all they have read. */
class TokenCount {
  read = 0;
  readonly #kept = new Set<string>();

  run(endpoint: Endpoint, { parts }: PromptInfo, copied: boolean): void {
    for (const { id, tokens } of parts) {
      const key = `${endpoint.key} ${id}`;
      if (!this.#kept.has(key) && !copied) {
        this.read += tokens;
      }
      this.#kept.add(key);
    }
  }
}

describe("PrefixPolicy when chats share long texts", () => {
  before(() => ready);

  it("sends a text where it was read, on every node", () => {
    const { nodes } = fleet(9, 4);
    const places = nodes.map(({ place }) => place(prompt("t1")).endpoint.key);
    expect(new Set(places).size).to.equal(1);
  });

  it("leaves texts where they are when endpoints join", () => {
    const { registry, first } = fleet(6);
    const texts = Array.from({ length: 80 }, (_, at) => `t${at}`);
    const before = texts.map((text) => first.place(prompt(text)).endpoint.key);
    registry.put(entry("e20"));
    registry.put(entry("e21"));
    const after = texts.map((text) => first.place(prompt(text)).endpoint.key);
    expect(after).to.deep.equal(before);
  });

  it("copies a text from an endpoint that leaves", () => {
    const { registry, first } = fleet(3);
    const from = first.place(prompt("t1")).endpoint;
    registry.put({ ...from.entry, state: "leaving" });
    const { endpoint, copyFrom } = first.place(prompt("t1"));
    expect(endpoint.key).to.not.equal(from.key);
    expect(copyFrom?.key).to.equal(from.key);
    expect(first.place(prompt("t1")).copyFrom).to.equal(undefined);
  });

  it("reads less than the baseline through joins and a zone out", () => {
    const clock = new ManualClock();
    const registry = new EndpointRegistry({ clock });
    for (let at = 0; at < 9; at += 1) {
      registry.put(entry(`e${at}`, { availabilityZone: "abc"[at % 3]! }));
    }
    const { place } = node(registry, clock);
    const baseline = new LastSharedPolicy({
      loads: new LoadTracker({ clock }),
    });
    const own = new TokenCount();
    const theirs = new TokenCount();
    for (let round = 0; round < 20; round += 1) {
      if (round === 5) {
        registry.put(entry("e10"));
      }
      registry.setZoneOut("b", round >= 10 && round < 15);
      for (let at = 0; at < 80; at += 1) {
        const facts = prompt(`t${at}`, `own ${round} ${at}`);
        const { endpoint, copyFrom } = place(facts);
        own.run(endpoint, facts, copyFrom !== undefined);
        const other = baseline.place({
          service: "model",
          prompt: facts,
          members: registry.members("model"),
          candidates: registry.usable("model"),
        });
        theirs.run(other.endpoint, facts, false);
      }
    }
    expect(own.read).to.be.lessThan(theirs.read * 0.9);
  });
});

describe("PrefixPolicy when one text gets much of the traffic", () => {
  before(() => ready);

  it("stays within the multiple of the mean", () => {
    const { registry, first } = fleet(6);
    for (let at = 0; at < 120; at += 1) {
      const facts = prompt(at % 10 < 7 ? "hot" : `t${at}`);
      const { endpoint } = first.place(facts);
      first.board.begin(endpoint.key);
      const members = registry.members("model");
      const loads = members.map(({ key }) => first.board.totalInFlight(key));
      const mean = loads.reduce((sum, load) => sum + load, 0) / loads.length;
      expect(Math.max(...loads)).to.be.at.most(2 * mean + 3);
    }
  });

  it("keeps texts where they are when every endpoint is busy", () => {
    const { registry, first } = fleet(0);
    for (let at = 0; at < 4; at += 1) {
      registry.put(entry(`e${at}`, { slots: 8 }));
    }
    const members = registry.members("model");
    const home = rankEndpoints("t1", members).at(-1)!;
    first.holders.applyPeerUpdates([{ partId: "t1", endpoint: home.key }]);
    for (const { key } of members) {
      Array.from({ length: 8 }, () => first.board.begin(key));
    }
    expect(first.place(prompt("t1")).endpoint.key).to.equal(home.key);
  });

  it("counts endpoints out of service for the mean", () => {
    const { registry, first } = fleet(9);
    registry.put(entry("e0", { state: "leaving" }));
    registry.put(entry("e1", { state: "leaving" }));
    registry.put(entry("e2", { state: "leaving" }));
    for (let at = 0; at < 90; at += 1) {
      const { endpoint } = first.place(prompt(at % 2 === 0 ? "hot" : `t${at}`));
      first.board.begin(endpoint.key);
    }
    const loads = registry.members("model")
      .map(({ key }) => first.board.totalInFlight(key));
    expect(Math.max(...loads)).to.be.at.most(2 * 90 / 9 + 3);
  });
});

describe("PrefixPolicy for plain calls", () => {
  before(() => ready);

  it("takes near endpoints while they are not busier", () => {
    const { registry, first } = fleet(0);
    const zones = ["a", "b", "c"];
    zones.forEach((availabilityZone, at) =>
      registry.put(
        entry(`p${at}`, { service: "plain", slots: 6, availabilityZone }),
      )
    );
    const near = first.place(undefined, "plain").endpoint;
    expect(near.entry.availabilityZone).to.equal("a");
    first.board.begin(near.key);
    const next = first.place(undefined, "plain").endpoint;
    expect(next.entry.availabilityZone).to.not.equal("a");
  });

  it("spreads over equals", () => {
    const { registry, first } = fleet(0);
    for (let at = 0; at < 4; at += 1) {
      registry.put(entry(`p${at}`, { service: "plain", slots: 6 }));
    }
    const places = Array.from(
      { length: 8 },
      () => first.place(undefined, "plain").endpoint.key,
    );
    expect(new Set(places).size).to.equal(4);
  });
});
