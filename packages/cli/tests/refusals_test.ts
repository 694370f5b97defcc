import { expect } from "chai";
import { describe, it } from "mocha";
import type { ErrorKind } from "@limpetshed/errors";
import {
  TestDeployment,
  type TestResponse,
} from "./support/test_deployment.ts";

interface ErrorResponseBody {
  error: { type: string; run: string; retry: boolean };
}

interface RefusalCase {
  kind: ErrorKind;
  status: number;
  run: string;
  /** Sends a request that is refused with `kind`. */
  send: (fleet: TestDeployment) => Promise<TestResponse>;
  /** Reverts the faults injected by `send`. */
  undo?: (fleet: TestDeployment) => void;
}

const CHAT_REQUEST = {
  model: "monogram",
  max_tokens: 2,
  messages: [{ role: "user", content: "x" }],
};
const sendChat = (
  fleet: TestDeployment,
  body: object = CHAT_REQUEST,
  headers = {},
) =>
  fleet.callAsMember("/v1/chat/completions", {
    body: JSON.stringify(body),
    headers,
  });
const sendHold = (fleet: TestDeployment, key: string, body = "{}") =>
  fleet.callAsMember("/v1/services/orders/holds", {
    headers: { "idempotency-key": key, "x-reference": key },
    body,
  });
const plainEngines = (fleet: TestDeployment) => [
  ...fleet.deployment.plainEngines.values(),
];
const receivedCount = (fleet: TestDeployment) =>
  plainEngines(fleet).reduce((sum, engine) => sum + engine.received, 0);

const REFUSAL_CASES: RefusalCase[] = [
  {
    kind: "unauthenticated",
    status: 401,
    run: "not-run",
    send: (fleet) =>
      sendChat(fleet, CHAT_REQUEST, { authorization: "Bearer x.y" }),
  },
  {
    kind: "forbidden",
    status: 403,
    run: "not-run",
    send: (fleet) => sendChat(fleet, { ...CHAT_REQUEST, model: "elsewhere" }),
  },
  {
    kind: "not_found",
    status: 404,
    run: "not-run",
    send: (fleet) => fleet.callAsMember("/v2/nothing", { body: "{}" }),
  },
  {
    kind: "invalid_request",
    status: 400,
    run: "not-run",
    send: (fleet) => sendChat(fleet, { ...CHAT_REQUEST, messages: [] }),
  },
  {
    kind: "body_too_large",
    status: 413,
    run: "not-run",
    send: (fleet) =>
      sendChat(fleet, {
        ...CHAT_REQUEST,
        messages: [{ role: "user", content: "x".repeat(5_000_000) }],
      }),
  },
  {
    kind: "idempotency_key_reused",
    status: 422,
    run: "not-run",
    send: async (fleet) => {
      await sendHold(fleet, "reused", "{}");
      return await sendHold(fleet, "reused", '{"other":1}');
    },
  },
  {
    kind: "endpoint_refused",
    status: 503,
    run: "not-run",
    send: (fleet) => {
      plainEngines(fleet).forEach((engine) =>
        engine.chooseFault = () => "refuse"
      );
      return sendHold(fleet, "refused");
    },
    undo: (fleet) =>
      plainEngines(fleet).forEach((engine) =>
        engine.chooseFault = () => "none"
      ),
  },
  {
    kind: "outcome_unknown",
    status: 409,
    run: "may-have-run",
    send: (fleet) => {
      plainEngines(fleet).forEach((engine) =>
        engine.chooseFault = () => "die_after"
      );
      return sendHold(fleet, "unknown");
    },
    undo: (fleet) =>
      plainEngines(fleet).forEach((engine) =>
        engine.chooseFault = () => "none"
      ),
  },
  {
    kind: "store_unavailable",
    status: 503,
    run: "not-run",
    send: (fleet) => {
      fleet.deployment.store.faults.down = true;
      return sendHold(fleet, "down");
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
      sendChat(fleet, { ...CHAT_REQUEST, max_tokens: 400 }, {
        "x-request-timeout-ms": "200",
      }),
  },
  {
    kind: "config_version_missing",
    status: 428,
    run: "not-run",
    send: (fleet) =>
      fleet.callOperatorApi("/v1/config", { method: "PATCH", body: "{}" }),
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
      Object.defineProperty(fleet.runningNodes[0]!.node.configSync, "synced", {
        value: false,
        configurable: true,
      });
      return sendChat(fleet);
    },
    undo: (fleet) => {
      Reflect.deleteProperty(fleet.runningNodes[0]!.node.configSync, "synced");
    },
  },
];

describe("refusals over loopback", () => {
  const fleet = new TestDeployment();

  before(async () => {
    await fleet.start(1);
    await sendChat(fleet);
    await sendHold(fleet, "warm");
  });

  after(async () => {
    await fleet.close();
  });

  for (const { kind, status, run, send, undo } of REFUSAL_CASES) {
    it(`answers ${kind} with ${status} and ${run}, and counts it`, async () => {
      const { metrics } = fleet.runningNodes[0]!;
      const before = metrics.value(`refusal.${kind}`);
      const receivedBefore = receivedCount(fleet);
      const res = await send(fleet);
      undo?.(fleet);
      const { error } = JSON.parse(res.text) as ErrorResponseBody;
      expect(error.type).to.equal(kind);
      expect(res.status).to.equal(status);
      expect(error.run).to.equal(run);
      expect(res.headers["x-limpetshed-run"]).to.equal(run);
      expect(metrics.value(`refusal.${kind}`)).to.equal(before + 1);
      if (kind === "store_unavailable") {
        expect(receivedCount(fleet)).to.equal(receivedBefore);
      }
      const executedCount = plainEngines(fleet).reduce(
        (sum, engine) => sum + (engine.executions.get("refused") ?? 0),
        0,
      );
      expect(executedCount).to.equal(0);
    });
  }

  it("sets retry-after on a refusal that can be retried", async () => {
    fleet.deployment.store.faults.down = true;
    const res = await sendHold(fleet, "later");
    fleet.deployment.store.faults.down = false;
    expect(Number(res.headers["retry-after"])).to.be.at.least(1);
  });
});
