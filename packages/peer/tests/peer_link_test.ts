import { create } from "@bufbuild/protobuf";
import { expect } from "chai";
import fc from "fast-check";
import { describe, it } from "mocha";
import { SystemClock } from "@limpetshed/base";
import { RouterError } from "@limpetshed/errors";
import { Metrics } from "@limpetshed/observe";
import { ConnectPeerTransport } from "../src/connect_peer_transport.ts";
import { peerpb } from "../src/index.ts";
import { PeerHandlers } from "../src/peer_handlers.ts";
import { PeerServer } from "../src/peer_server.ts";
import { SocketByteCounter } from "../src/socket_byte_counter.ts";

describe("links between nodes", () => {
  const meter = new SocketByteCounter();
  const metrics = new Metrics();
  const handlers = new PeerHandlers();
  const server = new PeerServer({
    handlers,
    metrics,
    meter,
    credentials: () => ({ key: "right" }),
  });
  const clock = new SystemClock();
  const createTransport = (key: string) =>
    new ConnectPeerTransport({
      clock,
      metrics,
      meter,
      credentials: () => ({ key }),
    });
  const validTransport = createTransport("right");
  let address = "";

  const lookup = (chatKey: bigint, via = validTransport, timeoutMs = 2_000) =>
    via.call(address, "lookupRequest", {
      message: create(peerpb.LookupRequestSchema, { chatKey }),
      timeoutMs,
    });

  before(async () => {
    handlers.on("lookupRequest", async ({ chatKey }) => {
      if (chatKey === 666n) {
        throw new RouterError("internal", "failed");
      }
      if (chatKey === 777n) {
        await new Promise(() => undefined);
      }
      return create(peerpb.LookupResponseSchema, {
        endpointId: `e${chatKey}`,
      });
    });
    address = await server.listen("127.0.0.1:0");
  });

  after(async () => {
    await validTransport.close();
    await server.close();
  });

  it("matches concurrent responses to their requests on one stream", async () => {
    const keys = Array.from({ length: 200 }, (_, index) => BigInt(index));
    const responses = await Promise.all(keys.map((key) => lookup(key)));
    expect(responses.map(({ endpointId }) => endpointId)).to.deep.equal(
      keys.map((key) => `e${key}`),
    );
    expect(validTransport.linkCount).to.equal(1);
  });

  it("reports a failed request and keeps the link open", async () => {
    const kind = await lookup(666n).then(
      () => "",
      (err: RouterError) => err.kind,
    );
    expect(kind).to.equal("peer_unreachable");
    expect((await lookup(1n)).endpointId).to.equal("e1");
  });

  it("times out if no response arrives", async () => {
    const kind = await lookup(777n, validTransport, 50).then(
      () => "",
      (err: RouterError) => err.kind,
    );
    expect(kind).to.equal("peer_unreachable");
  });

  it("rejects a peer with the wrong key", async () => {
    const invalidTransport = createTransport("wrong");
    const kind = await lookup(1n, invalidTransport).then(() => "answered", (
      err: RouterError,
    ) => err.kind);
    expect(kind).to.equal("peer_unreachable");
    await invalidTransport.close();
  });

  it("rejects any frame that has no handler", async () => {
    const emptyHandlers = new PeerHandlers();
    await fc.assert(
      fc.asyncProperty(
        fc.constantFrom(
          "heartbeat",
          "admitResponse",
          "failure",
          "grantRequest",
          "nonsense",
        ),
        async (name) => {
          const kind = await emptyHandlers.answer(
            { case: name, value: {} } as never,
          )
            .then(() => "", (err: RouterError) => err.kind);
          expect(kind).to.equal("invalid_request");
        },
      ),
      { seed: 2, numRuns: 50 },
    );
  });
});
