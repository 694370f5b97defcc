import { expect } from "chai";
import { describe, it } from "mocha";
import type { ErrorKind } from "@limpetshed/errors";
import { type Reply, TestDeployment } from "./support/test_deployment.ts";

interface ErrorText {
  error: { type: string; run: string; retry: boolean };
}

interface RefusalCase {
  kind: ErrorKind;
  status: number;
  run: string;
  /** Brings the refusal about through a real request. */
  send: (fleet: TestDeployment) => Promise<Reply>;
  /** Undoes what `send` set up. */
  undo?: (fleet: TestDeployment) => void;
}

const CHAT = {
  model: "monogram",
  max_tokens: 2,
  messages: [{ role: "user", content: "x" }],
};
const chat = (fleet: TestDeployment, body: object = CHAT, headers = {}) =>
  fleet.call("/v1/chat/completions", { body: JSON.stringify(body), headers });
const hold = (fleet: TestDeployment, key: string, body = "{}") =>
  fleet.call("/v1/services/orders/holds", {
    headers: { "idempotency-key": key, "x-reference": key },
    body,
  });
const plains = (fleet: TestDeployment) => [
  ...fleet.deployment.plains.values(),
];
const received = (fleet: TestDeployment) =>
  plains(fleet).reduce((sum, engine) => sum + engine.received, 0);

const CASES: RefusalCase[] = [
  {
    kind: "unauthenticated",
    status: 401,
    run: "not-run",
    send: (fleet) => chat(fleet, CHAT, { authorization: "Bearer x.y" }),
  },
  {
    kind: "forbidden",
    status: 403,
    run: "not-run",
    send: (fleet) => chat(fleet, { ...CHAT, model: "elsewhere" }),
  },
  {
    kind: "not_found",
    status: 404,
    run: "not-run",
    send: (fleet) => fleet.call("/v2/nothing", { body: "{}" }),
  },
  {
    kind: "invalid_request",
    status: 400,
    run: "not-run",
    send: (fleet) => chat(fleet, { ...CHAT, messages: [] }),
  },
  {
    kind: "body_too_large",
    status: 413,
    run: "not-run",
    send: (fleet) =>
      chat(fleet, {
        ...CHAT,
        messages: [{ role: "user", content: "x".repeat(5_000_000) }],
      }),
  },
  {
    kind: "idempotency_key_reused",
    status: 422,
    run: "not-run",
    send: async (fleet) => {
      await hold(fleet, "reused", "{}");
      return await hold(fleet, "reused", '{"other":1}');
    },
  },
  {
    kind: "endpoint_refused",
    status: 503,
    run: "not-run",
    send: (fleet) => {
      plains(fleet).forEach((engine) => engine.chooseFault = () => "refuse");
      return hold(fleet, "refused");
    },
    undo: (fleet) =>
      plains(fleet).forEach((engine) => engine.chooseFault = () => "none"),
  },
  {
    kind: "outcome_unknown",
    status: 409,
    run: "may-have-run",
    send: (fleet) => {
      plains(fleet).forEach((engine) => engine.chooseFault = () => "die_after");
      return hold(fleet, "unknown");
    },
    undo: (fleet) =>
      plains(fleet).forEach((engine) => engine.chooseFault = () => "none"),
  },
  {
    kind: "store_unavailable",
    status: 503,
    run: "not-run",
    send: (fleet) => {
      fleet.deployment.store.faults.down = true;
      return hold(fleet, "down");
    },
    undo: (fleet) => {
      fleet.deployment.store.faults.down = false;
    },
  },
  {
    kind: "deadline_exceeded",
    status: 504,
    run: "may-have-run",
    send: (fleet) =>
      chat(fleet, { ...CHAT, max_tokens: 400 }, {
        "x-request-timeout-ms": "200",
      }),
  },
  {
    kind: "config_version_missing",
    status: 428,
    run: "not-run",
    send: (fleet) =>
      fleet.operator("/v1/config", { method: "PATCH", body: "{}" }),
  },
  {
    kind: "config_version_stale",
    status: 412,
    run: "not-run",
    send: (fleet) => fleet.patch(0, {}),
  },
  {
    kind: "config_invalid",
    status: 422,
    run: "not-run",
    send: (fleet) => fleet.patch(1, { nonsense: 1 }),
  },
  {
    kind: "node_not_ready",
    status: 503,
    run: "not-run",
    send: (fleet) => {
      Object.defineProperty(fleet.running[0]!.node.spread, "synced", {
        value: false,
        configurable: true,
      });
      return chat(fleet);
    },
    undo: (fleet) => {
      Reflect.deleteProperty(fleet.running[0]!.node.spread, "synced");
    },
  },
];

describe("refusals through real requests", () => {
  const fleet = new TestDeployment();

  before(async () => {
    await fleet.start(1);
    await chat(fleet);
    await hold(fleet, "warm");
  });

  after(async () => {
    await fleet.close();
  });

  for (const { kind, status, run, send, undo } of CASES) {
    it(`${kind}: ${status}, ${run}, counted`, async () => {
      const { metrics } = fleet.running[0]!;
      const before = metrics.value(`refusal.${kind}`);
      const receivedBefore = received(fleet);
      const reply = await send(fleet);
      undo?.(fleet);
      const { error } = JSON.parse(reply.text) as ErrorText;
      expect(error.type).to.equal(kind);
      expect(reply.status).to.equal(status);
      expect(error.run).to.equal(run);
      expect(reply.headers["x-limpetshed-run"]).to.equal(run);
      expect(metrics.value(`refusal.${kind}`)).to.equal(before + 1);
      if (kind === "store_unavailable") {
        expect(received(fleet)).to.equal(receivedBefore);
      }
      const executed = plains(fleet).reduce(
        (sum, engine) => sum + (engine.executions.get("refused") ?? 0),
        0,
      );
      expect(executed).to.equal(0);
    });
  }

  it("says when to come back where a retry helps", async () => {
    fleet.deployment.store.faults.down = true;
    const reply = await hold(fleet, "later");
    fleet.deployment.store.faults.down = false;
    expect(Number(reply.headers["retry-after"])).to.be.at.least(1);
  });
});
