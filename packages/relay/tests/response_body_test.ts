import type { IncomingHttpHeaders } from "node:http";
import { expect } from "chai";
import { describe, it } from "mocha";
import { ResponseBody } from "../src/response_body.ts";

describe("ResponseBody", () => {
  function framing(
    headers: IncomingHttpHeaders,
    { status = 200, method = "GET" } = {},
  ) {
    const head = { status, headers, rawHeaders: [] };
    return new ResponseBody(head, method).framing;
  }

  it("tells by what a body ends", () => {
    expect(framing({ "content-length": "5" })).to.equal("length");
    expect(framing({ "transfer-encoding": "chunked" })).to.equal("chunked");
    expect(framing({})).to.equal("close");
  });

  it("has the length 0 where HTTP allows no body", () => {
    expect(framing({}, { status: 204 })).to.equal("length");
    expect(framing({}, { status: 304 })).to.equal("length");
    expect(framing({}, { method: "HEAD" })).to.equal("length");
  });
});
