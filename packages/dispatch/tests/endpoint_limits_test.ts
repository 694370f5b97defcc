import { ManualClock } from "@limpetshed/base";
import { expect } from "chai";
import { describe, it } from "mocha";
import { EndpointLimits, type LimitChange } from "../src/endpoint_limits.ts";

function setUp(clock = new ManualClock()) {
  const changes: LimitChange[] = [];
  const limits = new EndpointLimits({
    clock,
    onChange: (change) => changes.push(change),
  });
  /** Receives a response now whose request was sent `ageMs` ago. */
  const respond = (requestsPerS: number | undefined, ageMs = 0) =>
    limits.recordResponse("e1", {
      requestsPerS,
      sentMs: clock.monotonicMs() - ageMs,
    });
  const inForce = () => limits.requestsPerS("e1");
  return { clock, limits, changes, respond, inForce };
}

// What an endpoint said before must not undo what it said since.
describe("EndpointLimits", () => {
  it("begin with a response that names one and end with one that does not", async () => {
    const { clock, changes, respond, inForce } = setUp();
    expect(inForce()).to.equal(undefined);
    respond(5);
    expect(inForce()).to.equal(5);
    await clock.advance(1);
    respond(undefined);
    expect(inForce()).to.equal(undefined);
    expect(changes.map(({ outcome }) => outcome)).to.deep.equal([
      "began",
      "ended",
    ]);
    expect(changes[0]).to.include({ requestsPerS: 5, source: "endpoint" });
  });

  it("fall at once", async () => {
    const { clock, respond, inForce } = setUp();
    respond(5);
    await clock.advance(1_000);
    respond(2, 900);
    expect(inForce()).to.equal(2);
  });

  it("do not rise or end by a response to a request sent before", async () => {
    const { clock, respond, inForce } = setUp();
    await clock.advance(1_000);
    respond(2);
    await clock.advance(100);
    respond(5, 200);
    expect(inForce()).to.equal(2);
    respond(undefined, 200);
    expect(inForce()).to.equal(2);
    respond(5, 50);
    expect(inForce()).to.equal(5);
    await clock.advance(100);
    respond(undefined, 50);
    expect(inForce()).to.equal(undefined);
  });

  it("hold for no less than a trial after a silence", async () => {
    const { clock, respond, inForce } = setUp();
    respond(0);
    await clock.advance(4_999);
    expect(inForce()).to.equal(0);
    await clock.advance(1);
    expect(inForce()).to.equal(0.2);
  });

  it("are forgotten after a minute without any word", async () => {
    const { clock, limits, respond } = setUp();
    respond(2);
    await clock.advance(60_001);
    expect(limits.expire()).to.deep.equal(["e1"]);
    expect(limits.inForce.size).to.equal(0);
  });

  it("are told to other nodes once, and repeated", async () => {
    const { clock, limits, respond } = setUp();
    respond(5);
    respond(5);
    const other = setUp();
    const makeReports = limits.takeReports(10);
    await clock.advance(40);
    const reports = makeReports();
    expect(reports).to.deep.equal([
      { endpoint: "e1", requestsPerS: 5, heardAgeMs: 40, sentAgeMs: 40 },
    ]);
    expect(limits.takeReports(10)()).to.deep.equal([]);
    other.limits.applyPeerReports(reports);
    expect(other.inForce()).to.equal(5);
    expect(other.changes[0]).to.include({ source: "peer", ageMs: 40 });
    expect(other.limits.takeReports(10)()).to.deep.equal([]);
    expect(limits.repeatedReports().length).to.equal(1);
    expect(limits.repeatedReports().length).to.equal(0);
  });

  it("do not come back with a late report from another node", async () => {
    const { clock, limits, respond, inForce } = setUp();
    respond(5);
    const reports = limits.takeReports(10)();
    await clock.advance(1_000);
    respond(undefined);
    limits.applyPeerReports(
      reports.map((report) => ({
        ...report,
        heardAgeMs: 1_000,
        sentAgeMs: 1_000,
      })),
    );
    expect(inForce()).to.equal(undefined);
  });

  it("end by a report from another node whose request was sent since", async () => {
    const { clock, limits, respond, inForce } = setUp();
    respond(5);
    await clock.advance(3_000);
    const over = { endpoint: "e1", requestsPerS: undefined, heardAgeMs: 50 };
    limits.applyPeerReports([{ ...over, sentAgeMs: 2_800 }]);
    expect(inForce()).to.equal(5);
    limits.applyPeerReports([{ ...over, sentAgeMs: 100 }]);
    expect(inForce()).to.equal(undefined);
  });

  it("are neither logged nor reported again for small changes", () => {
    const { limits, changes, respond, inForce } = setUp();
    respond(100);
    limits.takeReports(10);
    respond(97);
    expect(inForce()).to.equal(97);
    expect(changes.length).to.equal(1);
    expect(limits.takeReports(10)()).to.deep.equal([]);
  });

  it("stay bounded with 20,000 endpoints, all limited", () => {
    const { limits } = setUp();
    for (let index = 0; index < 20_000; index += 1) {
      limits.recordResponse(`e${index}/1`, { requestsPerS: 2, sentMs: 0 });
    }
    expect(limits.inForce.size).to.equal(10_000);
    expect(limits.takeReports(32)().length).to.equal(32);
    expect(limits.repeatedReports().length).to.equal(8);
  });
});
