import { expect } from "chai";
import { describe, it } from "mocha";
import { TestDeployment } from "./support/test_deployment.ts";

interface CompletionBody {
  choices: { message: { content: string } }[];
  usage: { prompt_tokens_details: { cached_tokens: number } };
}

describe("end to end over loopback", () => {
  const fleet = new TestDeployment();

  before(async () => {
    await fleet.start(2);
  });

  after(async () => {
    await fleet.close();
  });

  const chatBody = (stream: boolean, text = "hello") =>
    JSON.stringify({
      model: "monogram",
      stream,
      max_tokens: 5,
      messages: [
        { role: "system", content: "catalogue ".repeat(300) },
        { role: "user", content: text },
      ],
    });

  it("streams a response up to its last event", async () => {
    const { status, text, headers } = await fleet.callAsMember(
      "/v1/chat/completions",
      {
        body: chatBody(true),
      },
    );
    expect(status).to.equal(200);
    expect(headers["content-type"]).to.equal("text/event-stream");
    const events = text.trim().split("\n\n");
    expect(events).to.have.length(6);
    expect(events.at(-1)).to.equal("data: [DONE]");
  });

  it("returns a complete response and reuses the chat's cached prompt", async () => {
    await fleet.callAsMember("/v1/chat/completions", { body: chatBody(false) });
    const again = await fleet.callAsMember("/v1/chat/completions", {
      body: chatBody(false),
      node: 1,
    });
    const body = JSON.parse(again.text) as CompletionBody;
    expect(body.choices[0]!.message.content).to.equal("w0 w1 w2 w3 w4 ");
    expect(body.usage.prompt_tokens_details.cached_tokens).to.be.above(700);
  });

  it("distinguishes invalid keys, unauthorized services and malformed bodies", async () => {
    const wrongKey = await fleet.callAsMember("/v1/chat/completions", {
      body: chatBody(false),
      headers: { authorization: "Bearer member-1.wrong" },
    });
    expect(wrongKey.status).to.equal(401);
    const otherService = await fleet.callAsMember("/v1/services/other/x", {
      method: "GET",
    });
    expect(otherService.status).to.equal(403);
    const malformed = await fleet.callAsMember("/v1/chat/completions", {
      body: "{",
    });
    expect(malformed.status).to.equal(400);
    expect(malformed.headers["x-limpetshed-run"]).to.equal("not-run");
  });

  it("executes a request once for two calls with one idempotency key", async () => {
    const hold = (node: number) =>
      fleet.callAsMember("/v1/services/orders/holds", {
        node,
        headers: { "idempotency-key": "k1", "x-reference": "hold-1" },
        body: '{"towel":"A"}',
      });
    const first = await hold(0);
    const second = await hold(1);
    expect(first.status).to.equal(200);
    expect(second.text).to.equal(first.text);
    expect(second.headers["x-limpetshed-replayed"]).to.equal("true");
    const executions = [...fleet.deployment.plainEngines.values()].map(
      (plain) => plain.executions.get("hold-1") ?? 0,
    );
    expect(executions.reduce((sum, count) => sum + count, 0)).to.equal(1);
  });

  it("lists only the models of the member", async () => {
    const { text } = await fleet.callAsMember("/v1/models", { method: "GET" });
    const { data } = JSON.parse(text) as { data: { id: string }[] };
    expect(data.map(({ id }) => id)).to.deep.equal(["monogram"]);
  });
});
