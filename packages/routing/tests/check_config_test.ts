import { expect } from "chai";
import { describe, it } from "mocha";
import { checkConfig } from "../src/check_config.ts";
import { compareConfigs } from "../src/compare_configs.ts";
import type { Route, RoutingConfig } from "../src/routing_config.ts";

const ROUTE: Route = {
  name: "chat",
  host: "chat.example",
  prefix: "/v1/",
  kind: "stream",
  resumable: true,
  timeoutMs: 10_000,
  targetLatencyMs: 500,
  priority: 0,
  maxAttempts: 2,
  isPublic: false,
  targets: [{ service: "model", weight: 1 }],
};

const CONFIG: RoutingConfig = {
  version: 7,
  routes: [ROUTE],
  services: [
    { name: "model", maxConnections: 10, coldRequestsPerS: 0, cacheTokens: 0 },
  ],
  accounts: [{ name: "acme", keys: ["secret-1"], priority: undefined }],
  limits: {
    maxHeaderBytes: 16_384,
    maxBodyBytes: 65_536,
    headerTimeoutMs: 3_000,
    idleTimeoutMs: 15_000,
  },
};

function withRoutes(...routes: Partial<Route>[]): RoutingConfig {
  return {
    ...CONFIG,
    routes: routes.map((route) => ({ ...ROUTE, ...route })),
  };
}

function check(config: RoutingConfig): string[] {
  return checkConfig(config, { maxParsedHeaderBytes: 65_536 })
    .map(({ severity, path }) => `${severity} ${path.join(".")}`);
}

describe("checkConfig", () => {
  const cases: [string, RoutingConfig, string[]][] = [
    ["a sound configuration", CONFIG, []],
    [
      "two routes in one place",
      withRoutes({}, { name: "other" }),
      ["error routes.1.prefix"],
    ],
    [
      "a longer prefix, which is no conflict",
      withRoutes({}, { name: "other", prefix: "/v1/chat/" }),
      [],
    ],
    ["routes of one name", withRoutes({}, { prefix: "/v2/" }), [
      "error routes.1.name",
    ]],
    ["a host with a port", withRoutes({ host: "chat.example:80" }), [
      "error routes.0.host",
    ]],
    ["a prefix without slashes", withRoutes({ prefix: "/v1" }), [
      "error routes.0.prefix",
    ]],
    ["a prefix with a query", withRoutes({ prefix: "/v1?x/" }), [
      "error routes.0.prefix",
    ]],
    [
      "a target latency above the timeout",
      withRoutes({ targetLatencyMs: 20_000 }),
      ["error routes.0.targetLatencyMs"],
    ],
    ["a resumable route without streams", withRoutes({ kind: "safe" }), [
      "warning routes.0.resumable",
    ]],
    [
      "an unknown service",
      withRoutes({
        targets: [...ROUTE.targets, { service: "gone", weight: 1 }],
      }),
      ["error routes.0.targets.1"],
    ],
    [
      "weights of 0 only",
      withRoutes({ targets: [{ service: "model", weight: 0 }] }),
      ["error routes.0.targets", "warning services.0"],
    ],
    ["a key of two accounts", {
      ...CONFIG,
      accounts: [...CONFIG.accounts!, {
        name: "b",
        keys: ["secret-1"],
        priority: 1,
      }],
    }, ["error accounts.1.keys.0"]],
    ["no keys at all", {
      ...CONFIG,
      accounts: [{ name: "acme", keys: [], priority: undefined }],
    }, ["error routes.0.isPublic", "warning accounts.0.keys"]],
    ["headers above what is parsed", {
      ...CONFIG,
      limits: { ...CONFIG.limits, maxHeaderBytes: 100_000 },
    }, ["error limits.maxHeaderBytes"]],
    ["headers that take longer than idleness", {
      ...CONFIG,
      limits: { ...CONFIG.limits, headerTimeoutMs: 20_000 },
    }, ["warning limits.headerTimeoutMs"]],
  ];
  for (const [name, config, expected] of cases) {
    it(`finds ${name}`, () => {
      expect(check(config)).to.deep.equal(expected);
    });
  }

  it("does not show API keys", () => {
    const accounts = [...CONFIG.accounts!, ...CONFIG.accounts!];
    const findings = checkConfig({ ...CONFIG, accounts }, {
      maxParsedHeaderBytes: 65_536,
    });
    expect(findings).to.have.length(2);
    expect(JSON.stringify(findings)).not.to.include("secret");
  });
});

describe("compareConfigs", () => {
  it("names what was added, removed and changed, whatever the order", () => {
    const next = withRoutes({ name: "new", prefix: "/v2/" }, {
      timeoutMs: 5_000,
    });
    expect(compareConfigs(CONFIG, { ...next, accounts: [] })).to.deep.equal([
      { change: "added", subject: "route new", fields: [] },
      { change: "changed", subject: "route chat", fields: ["timeoutMs"] },
      { change: "removed", subject: "client account acme", fields: [] },
    ]);
    expect(compareConfigs(CONFIG, CONFIG)).to.deep.equal([]);
  });
});
