import { expect } from "chai";
import { describe, it } from "mocha";
import { makeLogger } from "../src/logger.ts";
import { METRIC_TABLE } from "../src/metric_table.ts";
import { Metrics } from "../src/metrics.ts";

describe("makeLogger and Metrics", () => {
  it("writes JSON lines and redacts secrets", () => {
    const lines: string[] = [];
    const logger = makeLogger({
      fields: { node: "n1" },
      destination: { write: (line) => lines.push(line) },
    });
    logger.info({
      authorization: "Bearer a.hidden",
      key: "hidden",
      headers: { authorization: "hidden" },
      requestId: "r1",
    }, "request");
    const [line] = lines;
    expect(line).not.to.contain("hidden");
    expect(JSON.parse(line!)).to.include({
      level: "info",
      node: "n1",
      requestId: "r1",
      msg: "request",
    });
  });

  it("counts only under names in the metric table", () => {
    const metrics = new Metrics();
    metrics.countRefusal("queue_full");
    metrics.countRetry("not_owner");
    metrics.countStoreCall("claim");
    metrics.count("request.total", 2);
    for (const name of Object.keys(metrics.snapshot())) {
      expect(METRIC_TABLE, name).to.have.property(name);
    }
    expect(metrics.value("request.total")).to.equal(2);
  });
});
