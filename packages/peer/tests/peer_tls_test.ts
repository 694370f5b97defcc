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

/** Certificates made for these tests only. */
function material(
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
  let tls = material("fleet", "fleet");
  const server = new PeerServer({
    ...shared,
    handlers,
    credentials: () => ({ key: "k", tls }),
  });
  let address = "";

  const ask = async (mine: PeerTls | undefined): Promise<string> => {
    const transport = new ConnectPeerTransport({
      ...shared,
      clock: new SystemClock(),
      credentials: () => ({ key: "k", ...(mine && { tls: mine }) }),
    });
    const answer = await transport.call(address, "probeRequest", {
      message: create(peerpb.ProbeRequestSchema, { targetId: "x" }),
      timeoutMs: 1_000,
    }).then(() => "answered", (err: RouterError) => err.kind);
    await transport.close();
    return answer;
  };

  before(async () => {
    handlers.on("probeRequest", () => create(peerpb.ProbeResponseSchema));
    address = await server.listen("127.0.0.1:0");
  });

  after(async () => {
    await server.close();
  });

  it("answers a node of the fleet", async () => {
    expect(await ask(material("fleet", "fleet"))).to.equal("answered");
  });

  it("gives nothing to another authority's node, nor in clear text", async () => {
    expect(await ask(material("other", "fleet"))).to.equal("peer_unreachable");
    expect(await ask(undefined)).to.equal("peer_unreachable");
  });

  it("is not trusted by nodes of another authority", async () => {
    expect(await ask(material("fleet", "other"))).to.equal("peer_unreachable");
  });

  it("takes new material without a restart", async () => {
    tls = material("other", "other");
    server.reloadTls();
    expect(await ask(material("other", "other"))).to.equal("answered");
    expect(await ask(material("fleet", "other"))).to.equal("peer_unreachable");
  });
});
