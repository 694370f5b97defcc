import { ManualClock } from "@limpetshed/base";
import { expect } from "chai";
import { describe, it } from "mocha";
import { LogBudget } from "../src/log_budget.ts";
import { RELAY_METRIC_TABLE, RelayMetrics } from "../src/relay_metrics.ts";

describe("LogBudget", () => {
  it("bounds the lines of an event and counts what is left out", async () => {
    const clock = new ManualClock();
    const budget = new LogBudget({ clock, linesPerS: 3 });
    const taken = Array.from({ length: 10 }, () => budget.take("failed"));
    expect(taken.filter((count) => count !== undefined)).to.have.length(3);
    expect(budget.take("other")).to.equal(0);
    await clock.advance(1_000);
    expect(budget.take("failed")).to.equal(7);
    expect(budget.take("failed")).to.equal(0);
  });
});

describe("RelayMetrics", () => {
  it("serves every metric of the table as text", async () => {
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
