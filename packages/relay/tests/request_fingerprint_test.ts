import { Buffer } from "node:buffer";
import { initHashing } from "@limpetshed/hashing";
import { expect } from "chai";
import { before, describe, it } from "mocha";
import {
  lazyFingerprint,
  type RequestIdentity,
} from "../src/lazy_fingerprint.ts";

const IDENTITY: RequestIdentity = {
  account: "acme",
  path: "/chat/?v=1",
  body: Buffer.from("prompt"),
};

// A retry that is not recognised as one crashes another endpoint.
describe("the fingerprint of a request", () => {
  before(initHashing);

  it("is the same in all retries", () => {
    const retry = { ...IDENTITY, body: Buffer.from("prompt") };
    expect(lazyFingerprint(retry)()).to.equal(lazyFingerprint(IDENTITY)());
  });

  for (
    const change of [
      { account: "other" },
      { account: undefined },
      { path: "/chat/?v=2" },
      { body: Buffer.from("other") },
      { body: null },
    ]
  ) {
    it(
      `differs for another ${Object.keys(change)[0]}: ${
        String(Object.values(change)[0])
      }`,
      () => {
        expect(lazyFingerprint({ ...IDENTITY, ...change })())
          .to.not.equal(lazyFingerprint(IDENTITY)());
      },
    );
  }
});
