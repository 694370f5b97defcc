import { readFileSync } from "node:fs";
import { create } from "@bufbuild/protobuf";
import { expect } from "chai";
import { describe, it } from "mocha";
import { SystemClock } from "@limpetshed/base";
import type { RouterError } from "@limpetshed/errors";
import { Metrics } from "@limpetshed/observe";
import { ConnectPeerTransport } from "../src/connect_peer_transport.ts";
import { peerpb } from "../src/index.ts";
import type { PeerTls } from "../src/peer_credentials.ts";
import { PeerHandlers } from "../src/peer_handlers.ts";
import { PeerServer } from "../src/peer_server.ts";
import { SocketByteCounter } from "../src/socket_byte_counter.ts";

/** Loads a node certificate and the CA to trust; test fixtures only. */
function loadPeerTls(
  signer: "fleet" | "other",
  trusted: "fleet" | "other",
): PeerTls {
  const read = (name: string) =>
    readFileSync(
      new URL(`../../tests/fixtures/${name}`, import.meta.url),
      "utf8",
    );
  return {
    cert: read(`${signer}.node.pem`),
    key: read(`${signer}.node.key`),
    ca: read(`${trusted}.ca.pem`),
  };
}

describe("mutual TLS between nodes", () => {
  const shared = { metrics: new Metrics(), meter: new SocketByteCounter() };
  const handlers = new PeerHandlers();
  let tls = loadPeerTls("fleet", "fleet");
  const server = new PeerServer({
    ...shared,
    handlers,
    credentials: () => ({ key: "k", tls }),
  });
  let address = "";

  const probe = async (clientTls: PeerTls | undefined): Promise<string> => {
    const transport = new ConnectPeerTransport({
      ...shared,
      clock: new SystemClock(),
      credentials: () => ({ key: "k", ...(clientTls && { tls: clientTls }) }),
    });
    const outcome = await transport.call(address, "probeRequest", {
      message: create(peerpb.ProbeRequestSchema, { targetId: "x" }),
      timeoutMs: 1_000,
    }).then(() => "answered", (err: RouterError) => err.kind);
    await transport.close();
    return outcome;
  };

  before(async () => {
    handlers.on("probeRequest", () => create(peerpb.ProbeResponseSchema));
    address = await server.listen("127.0.0.1:0");
  });

  after(async () => {
    await server.close();
  });

  it("accepts a node with a certificate of the fleet CA", async () => {
    expect(await probe(loadPeerTls("fleet", "fleet"))).to.equal("answered");
  });

  it("rejects a certificate of another CA and unencrypted connections", async () => {
    expect(await probe(loadPeerTls("other", "fleet"))).to.equal(
      "peer_unreachable",
    );
    expect(await probe(undefined)).to.equal("peer_unreachable");
  });

  it("is rejected by a node that trusts another CA", async () => {
    expect(await probe(loadPeerTls("fleet", "other"))).to.equal(
      "peer_unreachable",
    );
  });

  it("reloads certificates without a restart", async () => {
    tls = loadPeerTls("other", "other");
    server.reloadTls();
    expect(await probe(loadPeerTls("other", "other"))).to.equal("answered");
    expect(await probe(loadPeerTls("fleet", "other"))).to.equal(
      "peer_unreachable",
    );
  });
});
