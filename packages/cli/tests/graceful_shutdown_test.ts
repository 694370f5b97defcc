import { expect } from "chai";
import { describe, it } from "mocha";
import { TestDeployment } from "./support/test_deployment.ts";

interface RequestResult {
  node: number;
  status: number;
  /** Whether the response arrived up to its last event. */
  whole: boolean;
  /** Time, request number and body if the response is incomplete; else empty. */
  text: string;
}

describe("graceful shutdown over loopback", () => {
  it("completes every request while two of three nodes stop in turn", async () => {
    const fleet = new TestDeployment();
    await fleet.start(3);
    await fleet.settled();
    const stoppedNodes = new Set<number>();
    const pending: Promise<RequestResult>[] = [];
    let sending = true;
    let sent = 0;
    const send = async (node: number): Promise<RequestResult> => {
      const { status, text } = await fleet.callAsMember(
        "/v1/chat/completions",
        {
          node,
          body: JSON.stringify({
            model: "monogram",
            stream: true,
            max_tokens: 20,
            messages: [{ role: "user", content: `stop ${sent}` }],
          }),
        },
      );
      const whole = text.trimEnd().endsWith("data: [DONE]");
      return {
        node,
        status,
        whole,
        text: whole ? "" : `${Date.now()} ${sent} ${text}`,
      };
    };
    const sender = (async () => {
      while (sending) {
        const live = [0, 1, 2].filter((node) => !stoppedNodes.has(node));
        sent += 1;
        pending.push(send(live[sent % live.length]!));
        await new Promise((resolve) => setTimeout(resolve, 15));
      }
    })();
    await new Promise((resolve) => setTimeout(resolve, 300));
    for (const node of [0, 1]) {
      stoppedNodes.add(node);
      await fleet.runningNodes[node]!.stop();
      await new Promise((resolve) => setTimeout(resolve, 300));
    }
    sending = false;
    await sender;
    const results = await Promise.all(pending);
    const failed = results.filter(({ status, whole }) =>
      status !== 200 || !whole
    );
    expect(results.length).to.be.above(10);
    fleet.runningNodes.splice(0, 2);
    await fleet.close();
    expect(failed.map(({ text }) => text).join("\n")).to.equal("");
  });
});
