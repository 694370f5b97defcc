import { ManualClock } from "@limpetshed/base";
import { expect } from "chai";
import { describe, it } from "mocha";
import { LogRateLimiter } from "../src/log_rate_limiter.ts";
import { RELAY_METRIC_TABLE, RelayMetrics } from "../src/relay_metrics.ts";

describe("LogRateLimiter", () => {
  it("limits the lines of each event and counts the suppressed ones", async () => {
    const clock = new ManualClock();
    const limiter = new LogRateLimiter({ clock, linesPerS: 3 });
    const results = Array.from(
      { length: 10 },
      () => limiter.tryAcquire("failed"),
    );
    expect(results.filter((count) => count !== undefined)).to.have.length(3);
    expect(limiter.tryAcquire("other")).to.equal(0);
    await clock.advance(1_000);
    expect(limiter.tryAcquire("failed")).to.equal(7);
    expect(limiter.tryAcquire("failed")).to.equal(0);
  });
});

describe("RelayMetrics", () => {
  it("renders every defined metric as text", async () => {
    const metrics = new RelayMetrics();
    metrics.count("limpetshed_refusals_total", {
      error: "no_endpoint",
      run: "not-run",
    });
    metrics.timing("limpetshed_answer_seconds", 120, { kind: "safe" });
    const text = await metrics.text();
    for (const name of Object.keys(RELAY_METRIC_TABLE)) {
      expect(text).to.contain(`# HELP ${name} `);
    }
    expect(text).to.contain(
      'limpetshed_refusals_total{error="no_endpoint",run="not-run"} 1',
    );
    expect(text).to.contain(
      'limpetshed_answer_seconds_bucket{le="0.15",kind="safe"} 1',
    );
  });
});
