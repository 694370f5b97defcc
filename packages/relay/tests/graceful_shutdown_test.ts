import { ManualClock } from "@limpetshed/base";
import { expect } from "chai";
import { describe, it } from "mocha";
import { GracefulShutdown } from "../src/graceful_shutdown.ts";

const CHAT = { kind: "stream", timeoutMs: 12_000 } as const;
const CALL = { kind: "unsafe", timeoutMs: 800 } as const;

describe("GracefulShutdown during a rolling restart under load", () => {
  it("accepts all requests until the load balancer has noticed", async () => {
    const clock = new ManualClock();
    const shutdown = new GracefulShutdown({ clock });
    expect(shutdown.accepts(CHAT)).to.equal(true);
    shutdown.begin(8_000);
    await clock.advance(2_800);
    expect(shutdown.accepts(CHAT)).to.equal(true);
  });

  it("then refuses streams and accepts requests that end in time", async () => {
    const clock = new ManualClock();
    const shutdown = new GracefulShutdown({ clock });
    shutdown.begin(8_000);
    await clock.advance(3_000);
    expect(shutdown.accepts(CHAT)).to.equal(false);
    expect(shutdown.accepts(CALL)).to.equal(true);
    await clock.advance(4_000);
    expect(shutdown.accepts(CALL)).to.equal(false);
    expect(shutdown.leftMs).to.be.at.most(600);
  });
});
