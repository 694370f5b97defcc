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
import { entry, hashingReady, prompt } from "./fixtures.ts";

/** Creates the state of one node; several nodes share a registry, as they share
 * the key-value store. */
function createNode(registry: EndpointRegistry, clock: ManualClock) {
  const loads = new LoadTracker({ clock });
  const cacheIndex = new PrefixCacheIndex({ clock });
  const policy = new PrefixPolicy({
    loads,
    cacheIndex,
    availabilityZone: "a",
    loadMultiple: 2,
    findEndpoint: (key) => registry.getByKey(key),
  });
  const select = (info: PromptInfo | undefined, service = "model") =>
    policy.select({
      service,
      prompt: info,
      serviceEndpoints: registry.serviceEndpoints(service),
      candidates: registry.usable(service),
    });
  return { loads, cacheIndex, policy, select };
}

function createFleet(endpointCount: number, nodeCount = 1) {
  const clock = new ManualClock();
  const registry = new EndpointRegistry({ clock });
  for (let index = 0; index < endpointCount; index += 1) {
    registry.put(entry(`e${index}`));
  }
  const nodes = Array.from(
    { length: nodeCount },
    () => createNode(registry, clock),
  );
  return { clock, registry, nodes, first: nodes[0]! };
}

/** Counts processed prompt tokens; endpoints cache all that they processed. */
class TokenCounter {
  processed = 0;
  readonly #cached = new Set<string>();

  run(endpoint: Endpoint, { parts }: PromptInfo, isCopied: boolean): void {
    for (const { id, tokens } of parts) {
      const key = `${endpoint.key} ${id}`;
      if (!this.#cached.has(key) && !isCopied) {
        this.processed += tokens;
      }
      this.#cached.add(key);
    }
  }
}

describe("PrefixPolicy when chats share long texts", () => {
  before(() => hashingReady);

  it("routes a text to the same endpoint on every node", () => {
    const { nodes } = createFleet(9, 4);
    const endpointKeys = nodes.map(({ select }) =>
      select(prompt("t1")).endpoint.key
    );
    expect(new Set(endpointKeys).size).to.equal(1);
  });

  it("keeps texts on their endpoints when endpoints join", () => {
    const { registry, first } = createFleet(6);
    const texts = Array.from({ length: 80 }, (_, index) => `t${index}`);
    const before = texts.map((text) => first.select(prompt(text)).endpoint.key);
    registry.put(entry("e20"));
    registry.put(entry("e21"));
    const after = texts.map((text) => first.select(prompt(text)).endpoint.key);
    expect(after).to.deep.equal(before);
  });

  it("copies a text from an endpoint that leaves", () => {
    const { registry, first } = createFleet(3);
    const from = first.select(prompt("t1")).endpoint;
    registry.put({ ...from.entry, state: "leaving" });
    const { endpoint, copyFrom } = first.select(prompt("t1"));
    expect(endpoint.key).to.not.equal(from.key);
    expect(copyFrom?.key).to.equal(from.key);
    expect(first.select(prompt("t1")).copyFrom).to.equal(undefined);
  });

  it("processes fewer tokens than the baseline as endpoints change", () => {
    const clock = new ManualClock();
    const registry = new EndpointRegistry({ clock });
    for (let index = 0; index < 9; index += 1) {
      registry.put(entry(`e${index}`, { availabilityZone: "abc"[index % 3]! }));
    }
    const { select } = createNode(registry, clock);
    const baseline = new LastSharedPolicy({
      loads: new LoadTracker({ clock }),
    });
    const policyTokens = new TokenCounter();
    const baselineTokens = new TokenCounter();
    for (let round = 0; round < 20; round += 1) {
      if (round === 5) {
        registry.put(entry("e10"));
      }
      registry.setZoneOut("b", round >= 10 && round < 15);
      for (let index = 0; index < 80; index += 1) {
        const info = prompt(`t${index}`, `own ${round} ${index}`);
        const { endpoint, copyFrom } = select(info);
        policyTokens.run(endpoint, info, copyFrom !== undefined);
        const baselineSelection = baseline.select({
          service: "model",
          prompt: info,
          serviceEndpoints: registry.serviceEndpoints("model"),
          candidates: registry.usable("model"),
        });
        baselineTokens.run(baselineSelection.endpoint, info, false);
      }
    }
    expect(policyTokens.processed).to.be.lessThan(
      baselineTokens.processed * 0.9,
    );
  });
});

describe("PrefixPolicy when one text gets much of the traffic", () => {
  before(() => hashingReady);

  it("stays within the load bound", () => {
    const { registry, first } = createFleet(6);
    for (let index = 0; index < 120; index += 1) {
      const info = prompt(index % 10 < 7 ? "hot" : `t${index}`);
      const { endpoint } = first.select(info);
      first.loads.begin(endpoint.key);
      const endpoints = registry.serviceEndpoints("model");
      const loads = endpoints.map(({ key }) => first.loads.totalInFlight(key));
      const mean = loads.reduce((sum, load) => sum + load, 0) / loads.length;
      expect(Math.max(...loads)).to.be.at.most(2 * mean + 3);
    }
  });

  it("keeps texts on their endpoints when every endpoint is busy", () => {
    const { registry, first } = createFleet(0);
    for (let index = 0; index < 4; index += 1) {
      registry.put(entry(`e${index}`, { slots: 8 }));
    }
    const endpoints = registry.serviceEndpoints("model");
    const holder = rankEndpoints("t1", endpoints).at(-1)!;
    first.cacheIndex.applyPeerUpdates([{ partId: "t1", endpoint: holder.key }]);
    for (const { key } of endpoints) {
      Array.from({ length: 8 }, () => first.loads.begin(key));
    }
    expect(first.select(prompt("t1")).endpoint.key).to.equal(holder.key);
  });

  it("includes leaving endpoints in the mean load", () => {
    const { registry, first } = createFleet(9);
    registry.put(entry("e0", { state: "leaving" }));
    registry.put(entry("e1", { state: "leaving" }));
    registry.put(entry("e2", { state: "leaving" }));
    for (let index = 0; index < 90; index += 1) {
      const { endpoint } = first.select(
        prompt(index % 2 === 0 ? "hot" : `t${index}`),
      );
      first.loads.begin(endpoint.key);
    }
    const loads = registry.serviceEndpoints("model")
      .map(({ key }) => first.loads.totalInFlight(key));
    expect(Math.max(...loads)).to.be.at.most(2 * 90 / 9 + 3);
  });
});

describe("PrefixPolicy for requests without a prompt", () => {
  before(() => hashingReady);

  it("prefers endpoints in the same zone while they are not busier", () => {
    const { registry, first } = createFleet(0);
    const zones = ["a", "b", "c"];
    zones.forEach((availabilityZone, index) =>
      registry.put(
        entry(`p${index}`, { service: "plain", slots: 6, availabilityZone }),
      )
    );
    const near = first.select(undefined, "plain").endpoint;
    expect(near.entry.availabilityZone).to.equal("a");
    first.loads.begin(near.key);
    const next = first.select(undefined, "plain").endpoint;
    expect(next.entry.availabilityZone).to.not.equal("a");
  });

  it("spreads requests over equally loaded endpoints", () => {
    const { registry, first } = createFleet(0);
    for (let index = 0; index < 4; index += 1) {
      registry.put(entry(`p${index}`, { service: "plain", slots: 6 }));
    }
    const endpointKeys = Array.from(
      { length: 8 },
      () => first.select(undefined, "plain").endpoint.key,
    );
    expect(new Set(endpointKeys).size).to.equal(4);
  });
});
