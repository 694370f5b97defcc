import { ManualClock } from "@limpetshed/base";
import { expect } from "chai";
import { describe, it } from "mocha";
import { OutlierDetector } from "../src/outlier_detector.ts";

const ENDPOINTS = ["e1", "e2", "e3", "e4"];

function list() {
  const clock = new ManualClock();
  const suspicion = new OutlierDetector({ clock });
  const suspects = () => [...suspicion.outliers(ENDPOINTS)];
  return { clock, suspicion, suspects };
}

describe("SuspicionList", () => {
  it("avoids an endpoint that cannot be reached, for longer each time", async () => {
    const { clock, suspicion, suspects } = list();
    suspicion.lost("e1");
    expect(suspects()).to.deep.equal(["e1"]);
    await clock.advance(400);
    expect(suspects()).to.deep.equal([]);
    suspicion.lost("e1");
    await clock.advance(600);
    expect(suspects()).to.deep.equal(["e1"]);
  });

  it("tries an endpoint again within seconds, however often it failed", async () => {
    const { clock, suspicion, suspects } = list();
    for (let at = 0; at < 3; at += 1) {
      suspicion.lost("e1");
    }
    await clock.advance(3_000);
    expect(suspects()).to.deep.equal([]);
  });

  it("trusts an endpoint that answers again", () => {
    const { suspicion, suspects } = list();
    suspicion.lost("e1");
    suspicion.answered("e1");
    expect(suspects()).to.deep.equal([]);
  });

  it("avoids one that fails many requests while its check is good", () => {
    const { suspicion, suspects } = list();
    for (let at = 0; at < 12; at += 1) {
      suspicion.failed("e2");
      ENDPOINTS.filter((key) => key !== "e2").forEach((key) =>
        suspicion.answered(key)
      );
    }
    expect(suspects()).to.deep.equal(["e2"]);
  });

  it("does not blame one when all fail alike", () => {
    const { suspicion, suspects } = list();
    for (let at = 0; at < 20; at += 1) {
      ENDPOINTS.forEach((key) => suspicion.failed(key));
    }
    expect(suspects()).to.deep.equal([]);
  });

  it("avoids one that answers much more slowly than the others", async () => {
    const { clock, suspicion, suspects } = list();
    for (let at = 0; at < 4; at += 1) {
      ENDPOINTS.forEach((key) =>
        suspicion.headersReceived(key, key === "e3" ? 480 : 60)
      );
    }
    expect(suspects()).to.deep.equal(["e3"]);
    await clock.advance(2_600);
    expect(suspects()).to.deep.equal([]);
    suspicion.headersReceived("e3", 60);
    suspicion.headersReceived("e3", 60);
    suspicion.headersReceived("e3", 60);
    expect(suspects()).to.deep.equal([]);
  });

  it("does not take long prompts for a slow endpoint", () => {
    const { suspicion, suspects } = list();
    for (let at = 0; at < 6; at += 1) {
      ENDPOINTS.forEach((key) =>
        suspicion.headersReceived(key, key === "e1" ? 150 : 50)
      );
    }
    expect(suspects()).to.deep.equal([]);
  });
});
