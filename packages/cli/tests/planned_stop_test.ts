import { expect } from "chai";
import { describe, it } from "mocha";
import { TestDeployment } from "./support/test_deployment.ts";

interface Sent {
  node: number;
  status: number;
  whole: boolean;
  /** What came instead of a whole answer. */
  text: string;
}

describe("planned stop over loopback", () => {
  it("cuts off no request when each node stops in turn", async () => {
    const fleet = new TestDeployment();
    await fleet.start(3);
    await fleet.settled();
    const stopped = new Set<number>();
    const open: Promise<Sent>[] = [];
    let sending = true;
    let sent = 0;
    const send = async (node: number): Promise<Sent> => {
      const { status, text } = await fleet.call("/v1/chat/completions", {
        node,
        body: JSON.stringify({
          model: "monogram",
          stream: true,
          max_tokens: 20,
          messages: [{ role: "user", content: `stop ${sent}` }],
        }),
      });
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
        const live = [0, 1, 2].filter((node) => !stopped.has(node));
        sent += 1;
        open.push(send(live[sent % live.length]!));
        await new Promise((resolve) => setTimeout(resolve, 15));
      }
    })();
    await new Promise((resolve) => setTimeout(resolve, 300));
    for (const node of [0, 1]) {
      stopped.add(node);
      await fleet.running[node]!.stop();
      await new Promise((resolve) => setTimeout(resolve, 300));
    }
    sending = false;
    await sender;
    const results = await Promise.all(open);
    const failed = results.filter(({ status, whole }) =>
      status !== 200 || !whole
    );
    expect(results.length).to.be.above(10);
    fleet.running.splice(0, 2);
    await fleet.close();
    expect(failed.map(({ text }) => text).join("\n")).to.equal("");
  });
});
