import { ManualClock } from "@limpetshed/base";
import { BrittleEndpoints, EndpointLimiter } from "@limpetshed/dispatch";
import { makeLogger, RelayMetrics } from "@limpetshed/observe";
import { expect } from "chai";
import { describe, it } from "mocha";
import { LimitRecorder } from "../src/limit_recorder.ts";
import { TelemetryObserver } from "../src/telemetry_observer.ts";

describe("LimitRecorder", () => {
  it("ignores malformed limits, counts them and logs one line an endpoint", async () => {
    const clock = new ManualClock();
    const lines: string[] = [];
    const logger = makeLogger({
      destination: { write: (line: string) => void lines.push(line) },
    });
    const metrics = new RelayMetrics();
    const limiter = new EndpointLimiter({
      clock,
      nodeId: "n1",
      nodeIds: () => ["n1"],
      peerTimeoutMs: () => 2_000,
    });
    const recorder = new LimitRecorder({
      limiter,
      brittleEndpoints: new BrittleEndpoints({
        clock,
        nodeId: "n1",
        nodeIds: () => ["n1"],
      }),
      logger,
      observer: new TelemetryObserver({ clock, logger, metrics }),
    });
    for (const endpoint of ["e1", "e1", "e2"]) {
      recorder.record(endpoint, { state: "malformed" }, {
        sentMs: 0,
        isServed: true,
      });
    }
    expect(limiter.limits.inForce.size).to.equal(0);
    expect(lines.length).to.equal(2);
    expect(await metrics.text()).to.include(
      "limpetshed_malformed_limits_total 3",
    );
  });
});
