import { expect } from "chai";
import { describe, it } from "mocha";
import { errorBody } from "../src/error_body.ts";
import { ERROR_KINDS, ERROR_RESPONSES } from "../src/error_kinds.ts";
import { RouterError, toRouterError } from "../src/router_error.ts";

describe("errorBody and ERROR_RESPONSES", () => {
  it("omits causes from the response body", () => {
    const cause = new Error("secret token abc");
    const err = new RouterError("internal", "internal error", { cause });
    expect(JSON.stringify(errorBody(err))).not.to.contain("secret");
    expect(err.message).to.contain("secret");
    expect(JSON.stringify(errorBody(toRouterError(cause)))).not.to.contain(
      "secret",
    );
  });

  it("assigns a 4xx or 5xx status to every kind", () => {
    for (const kind of ERROR_KINDS) {
      const { status } = ERROR_RESPONSES[kind];
      expect(status, kind).to.be.within(400, 599);
    }
  });

  it("reports may-have-run for interrupted responses", () => {
    for (const kind of ["answer_incomplete", "endpoint_failed"] as const) {
      expect(ERROR_RESPONSES[kind].run).to.equal("may-have-run");
    }
  });
});
