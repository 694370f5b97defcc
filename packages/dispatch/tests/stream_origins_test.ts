import { ManualClock } from "@limpetshed/base";
import { expect } from "chai";
import { describe, it } from "mocha";
import { StreamOrigins } from "../src/stream_origins.ts";

const V1 = { service: "s", version: "v1" };
const V2 = { service: "s", version: "v2" };

function makeOrigins() {
  const clock = new ManualClock();
  const origins = new StreamOrigins({ clock });
  const report = () =>
    origins.takeReports({ needsRecord: () => true, max: 10 })
      .flatMap(({ version, streams }) => streams.map((key) => [key, version]));
  return { clock, origins, report };
}

describe("StreamOrigins", () => {
  // The arrival of an earlier attempt's record counted as that of the stream, so
  // that other nodes only knew the version which had lost its answer.
  it("reports a stream until its own record is in the store", async () => {
    const { clock, origins, report } = makeOrigins();
    origins.recordBegun("a", V2);
    expect(report()).to.deep.equal([["a", "v2"]]);
    origins.recordStored({ ...V1, streams: ["a"] });
    expect(origins.find("a")).to.deep.equal(V2);
    await clock.advance(1_000);
    expect(report()).to.deep.equal([["a", "v2"]]);
    origins.recordStored({ ...V2, streams: ["a"] });
    await clock.advance(1_000);
    expect(report()).to.deep.equal([]);
  });

  it("keeps its own record whatever arrives later", () => {
    const { origins } = makeOrigins();
    origins.recordBegun("a", V2);
    origins.recordStored({ ...V2, streams: ["a"] });
    origins.recordStored({ ...V1, streams: ["a"] });
    expect(origins.find("a")).to.deep.equal(V2);
  });

  it("takes back a record that no other node knows", () => {
    const { origins, report } = makeOrigins();
    origins.recordBegun("a", V1);
    expect(origins.retract("a")).to.equal(true);
    expect(origins.find("a")).to.equal(undefined);
    origins.recordBegun("b", V1);
    expect(report()).to.deep.equal([["b", "v1"]]);
    expect(origins.retract("b")).to.equal(false);
    expect(origins.find("b")).to.deep.equal(V1);
  });

  it("reports its unfinished streams again once the store has lost them", () => {
    const { origins, report } = makeOrigins();
    for (const key of ["a", "b"]) {
      origins.recordBegun(key, V1);
    }
    report();
    origins.recordStored({ ...V1, streams: ["a", "b"] });
    origins.recordCompleted("a");
    origins.forgetStored();
    expect(report()).to.deep.equal([["b", "v1"]]);
  });
});
