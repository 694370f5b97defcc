import { expect } from "chai";
import fc from "fast-check";
import { describe, it } from "mocha";
import { RouterError } from "@limpetshed/errors";
import { parseChatRequest } from "../src/chat_request.ts";

const context = {
  requestId: "r",
  member: "a",
  headerKey: undefined,
  signal: new AbortController().signal,
};

function outcomeOf(body: string): string {
  try {
    parseChatRequest(body, context);
    return "ok";
  } catch (err) {
    return err instanceof RouterError ? err.kind : "crash";
  }
}

describe("parseChatRequest", () => {
  it("rejects arbitrary text as invalid_request", () => {
    fc.assert(
      fc.property(fc.string(), (body) => {
        expect(outcomeOf(body)).to.equal("invalid_request");
      }),
      { seed: 1, numRuns: 500 },
    );
  });

  it("parses arbitrary JSON or rejects it as invalid_request", () => {
    const value = fc.jsonValue();
    const body = fc.oneof(
      value,
      fc.record({ model: value, messages: value, max_tokens: value }, {
        requiredKeys: [],
      }),
      fc.record({
        model: fc.constant("m"),
        messages: fc.array(fc.record({ role: value, content: value })),
        stream: value,
        prompt_cache_key: value,
      }),
    );
    fc.assert(
      fc.property(body, (data) => {
        expect(outcomeOf(JSON.stringify(data))).to.be.oneOf([
          "ok",
          "invalid_request",
        ]);
      }),
      { seed: 2, numRuns: 1_000 },
    );
  });
});
