import { expect } from "chai";
import { describe, it } from "mocha";
import { CurrentConfig } from "../src/current_config.ts";
import { pickTarget } from "../src/pick_target.ts";
import { RouteTable } from "../src/route_table.ts";
import type { Route, RoutingConfig } from "../src/routing_config.ts";

function route(name: string, prefix: string): Route {
  return {
    name,
    host: "a.example",
    prefix,
    kind: "safe",
    resumable: false,
    timeoutMs: 1_000,
    targetLatencyMs: undefined,
    priority: 0,
    maxAttempts: 1,
    isPublic: false,
    targets: [{ service: name, weight: 1 }],
  };
}

function config(version: number, routes: Route[]): RoutingConfig {
  return {
    version,
    routes,
    services: [],
    accounts: [{ name: "acme", keys: ["k1", "k2"], priority: undefined }],
    limits: {
      maxHeaderBytes: 1,
      maxBodyBytes: 1,
      headerTimeoutMs: 1,
      idleTimeoutMs: 1,
    },
  };
}

describe("RouteTable", () => {
  const table = new RouteTable(
    config(1, [route("root", "/"), route("a", "/a/"), route("ab", "/a/b/")]),
  );

  it("matches the longest prefix of whole path segments", () => {
    expect(table.findRoute("a.example", "/a/b/c")?.name).to.equal("ab");
    expect(table.findRoute("a.example", "/a/bc")?.name).to.equal("a");
    expect(table.findRoute("a.example", "/ab/c")?.name).to.equal("root");
    expect(table.findRoute("a.example", "/")?.name).to.equal("root");
  });

  it("ignores the case and port of the host", () => {
    expect(table.findRoute("A.Example:8080", "/a/")?.name).to.equal("a");
    expect(table.findRoute("b.example", "/a/")).to.equal(undefined);
  });

  it("finds accounts by any of their keys", () => {
    expect(table.account("k2")?.name).to.equal("acme");
    expect(table.account("k3")).to.equal(undefined);
  });

  it("handles thousands of routes", () => {
    const many = Array.from(
      { length: 5_000 },
      (_, index) => route(`r${index}`, `/p${index}/`),
    );
    const largeTable = new RouteTable(config(2, many));
    expect(largeTable.findRoute("a.example", "/p4999/x")?.name).to.equal(
      "r4999",
    );
    expect(largeTable.findRoute("a.example", "/q/x")).to.equal(undefined);
  });
});

describe("CurrentConfig", () => {
  it("never returns to an older version, whatever the order of arrival", () => {
    const current = new CurrentConfig();
    const seen: number[] = [];
    current.onChange(({ version }) => seen.push(version));
    const applied = [3, 7, 5, 7, 9, 1].map((version) =>
      current.applyIfNewer(config(version, []))
    );
    expect(applied).to.deep.equal([true, true, false, false, true, false]);
    expect(seen).to.deep.equal([3, 7, 9]);
  });
});

describe("pickTarget", () => {
  it("splits requests by weight", () => {
    const targets = [{ service: "a", weight: 90 }, {
      service: "b",
      weight: 10,
    }];
    const picked = Array.from(
      { length: 100 },
      (_, index) => pickTarget(targets, index / 100),
    );
    expect(picked.filter((name) => name === "b")).to.have.length(10);
  });

  it("never picks a service with weight 0", () => {
    const targets = [{ service: "a", weight: 0 }, { service: "b", weight: 1 }];
    expect(pickTarget(targets, 0)).to.equal("b");
  });
});
