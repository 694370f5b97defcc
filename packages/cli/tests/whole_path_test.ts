import { expect } from "chai";
import { describe, it } from "mocha";
import { TestDeployment } from "./support/test_deployment.ts";

interface WholeBody {
  choices: { message: { content: string } }[];
  usage: { prompt_tokens_details: { cached_tokens: number } };
}

describe("the whole path over loopback", () => {
  const fleet = new TestDeployment();

  before(async () => {
    await fleet.start(2);
  });

  after(async () => {
    await fleet.close();
  });

  const chat = (stream: boolean, text = "hello") =>
    JSON.stringify({
      model: "monogram",
      stream,
      max_tokens: 5,
      messages: [
        { role: "system", content: "catalogue ".repeat(300) },
        { role: "user", content: text },
      ],
    });

  it("streams an answer through its last event", async () => {
    const { status, text, headers } = await fleet.call("/v1/chat/completions", {
      body: chat(true),
    });
    expect(status).to.equal(200);
    expect(headers["content-type"]).to.equal("text/event-stream");
    const events = text.trim().split("\n\n");
    expect(events).to.have.length(6);
    expect(events.at(-1)).to.equal("data: [DONE]");
  });

  it("returns a whole answer and finds the chat's context again", async () => {
    await fleet.call("/v1/chat/completions", { body: chat(false) });
    const again = await fleet.call("/v1/chat/completions", {
      body: chat(false),
      node: 1,
    });
    const body = JSON.parse(again.text) as WholeBody;
    expect(body.choices[0]!.message.content).to.equal("w0 w1 w2 w3 w4 ");
    expect(body.usage.prompt_tokens_details.cached_tokens).to.be.above(700);
  });

  it("tells wrong keys, foreign services and bad bodies apart", async () => {
    const wrongKey = await fleet.call("/v1/chat/completions", {
      body: chat(false),
      headers: { authorization: "Bearer member-1.wrong" },
    });
    expect(wrongKey.status).to.equal(401);
    const foreign = await fleet.call("/v1/services/other/x", {
      method: "GET",
    });
    expect(foreign.status).to.equal(403);
    const bad = await fleet.call("/v1/chat/completions", { body: "{" });
    expect(bad.status).to.equal(400);
    expect(bad.headers["x-limpetshed-run"]).to.equal("not-run");
  });

  it("runs a hold once for two calls under one key", async () => {
    const hold = (node: number) =>
      fleet.call("/v1/services/orders/holds", {
        node,
        headers: { "idempotency-key": "k1", "x-reference": "hold-1" },
        body: '{"towel":"A"}',
      });
    const first = await hold(0);
    const second = await hold(1);
    expect(first.status).to.equal(200);
    expect(second.text).to.equal(first.text);
    expect(second.headers["x-limpetshed-replayed"]).to.equal("true");
    const executions = [...fleet.deployment.plains.values()].map(
      (plain) => plain.executions.get("hold-1") ?? 0,
    );
    expect(executions.reduce((sum, count) => sum + count, 0)).to.equal(1);
  });

  it("lists only the member's models", async () => {
    const { text } = await fleet.call("/v1/models", { method: "GET" });
    const { data } = JSON.parse(text) as { data: { id: string }[] };
    expect(data.map(({ id }) => id)).to.deep.equal(["monogram"]);
  });
});
