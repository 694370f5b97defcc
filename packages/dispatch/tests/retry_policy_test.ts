import type { Route, RouteKind } from "@limpetshed/routing";
import { expect } from "chai";
import { describe, it } from "mocha";
import { mayRetry, type SendOutcome } from "../src/retry_policy.ts";

function route(kind: RouteKind, maxAttempts: number, resumable = false): Route {
  return {
    name: "r",
    host: "h",
    prefix: "/",
    kind,
    resumable,
    timeoutMs: 1_000,
    targetLatencyMs: undefined,
    priority: 0,
    maxAttempts,
    isPublic: false,
    targets: [],
  };
}

const OUTCOMES: SendOutcome[] = [
  "delivered",
  "not_sent",
  "rejected",
  "misdirected",
  "failed",
  "lost",
  "broken",
];

function retryableOutcomes(of: Route, sends = 1, unsent = 0): SendOutcome[] {
  return OUTCOMES.filter((outcome) =>
    mayRetry(outcome, { route: of, counts: { sends, unsent } })
  );
}

describe("mayRetry", () => {
  it("never retries an unsafe request that may have been executed", () => {
    expect(retryableOutcomes(route("unsafe", 3))).to.deep.equal([
      "not_sent",
      "rejected",
      "misdirected",
    ]);
    expect(retryableOutcomes(route("stream", 3))).to.deep.equal([
      "not_sent",
      "rejected",
      "misdirected",
    ]);
  });

  it("retries safe requests and resumable streams within the limit", () => {
    for (const retryable of [route("safe", 2), route("stream", 2, true)]) {
      expect(retryableOutcomes(retryable)).to.include.members([
        "failed",
        "lost",
        "broken",
      ]);
      expect(retryableOutcomes(retryable, 2)).to.deep.equal([
        "not_sent",
        "misdirected",
      ]);
    }
  });

  it("gives up after repeated attempts that reach no endpoint", () => {
    expect(retryableOutcomes(route("safe", 2), 0, 4)).to.not.include(
      "not_sent",
    );
  });
});
