import { expect } from "chai";
import { describe, it } from "mocha";
import { TestFleet } from "./support/test_fleet.ts";

describe("startup", () => {
  it("serves chats in under 1 s after the first configuration", async () => {
    const fleet = await TestFleet.ready();
    const chats = Array.from(
      { length: 20 },
      (_, index) =>
        fleet.chat({ node: `n${index % 4 + 1}`, text: `chat ${index}` }),
    );
    const results = await fleet.settle(Promise.all(chats));
    expect(results.map(({ outcome }) => outcome)).to.deep.equal(
      Array.from({ length: 20 }, () => "ok"),
    );
    expect(Math.max(...results.map(({ totalMs }) => totalMs))).to.be.below(
      1_000,
    );
    await fleet.close();
  });
});
