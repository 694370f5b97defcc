import type { CallKind, Route } from "@limpetshed/routing";
import { expect } from "chai";
import { describe, it } from "mocha";
import { mayRetry, type SendOutcome } from "../src/retry_policy.ts";

function route(kind: CallKind, maxAttempts: number, resumable = false): Route {
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

function allowed(of: Route, sends = 1, unsent = 0): SendOutcome[] {
  return OUTCOMES.filter((outcome) =>
    mayRetry(outcome, { route: of, counts: { sends, unsent } })
  );
}

describe("mayTryAgain", () => {
  it("never runs an unsafe call again that may have run", () => {
    expect(allowed(route("unsafe", 3))).to.deep.equal([
      "not_sent",
      "rejected",
      "misdirected",
    ]);
    expect(allowed(route("stream", 3))).to.deep.equal([
      "not_sent",
      "rejected",
      "misdirected",
    ]);
  });

  it("repeats safe calls and resumable streams within the route's limit", () => {
    for (const repeatable of [route("safe", 2), route("stream", 2, true)]) {
      expect(allowed(repeatable)).to.include.members([
        "failed",
        "lost",
        "broken",
      ]);
      expect(allowed(repeatable, 2)).to.deep.equal(["not_sent", "misdirected"]);
    }
  });

  it("gives up when no endpoint can be reached", () => {
    expect(allowed(route("safe", 2), 0, 4)).to.not.include("not_sent");
  });
});
