import { expect } from "chai";
import { describe, it } from "mocha";
import { errorBody } from "../src/error_body.ts";
import { ERROR_ANSWERS, ERROR_KINDS } from "../src/error_kinds.ts";
import { RouterError, toRouterError } from "../src/router_error.ts";

describe("errors", () => {
  it("never shows a cause to callers", () => {
    const cause = new Error("secret token abc");
    const err = new RouterError("internal", "internal error", { cause });
    expect(JSON.stringify(errorBody(err))).not.to.contain("secret");
    expect(err.message).to.contain("secret");
    expect(JSON.stringify(errorBody(toRouterError(cause)))).not.to.contain(
      "secret",
    );
  });

  it("gives every kind a status in the range of errors", () => {
    for (const kind of ERROR_KINDS) {
      const { status } = ERROR_ANSWERS[kind];
      expect(status, kind).to.be.within(400, 599);
    }
  });

  it("never says not-run of an answer that was cut off", () => {
    for (const kind of ["answer_incomplete", "endpoint_failed"] as const) {
      expect(ERROR_ANSWERS[kind].run).to.equal("may-have-run");
    }
  });
});
