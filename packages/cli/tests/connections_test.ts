import { copyFileSync, readFileSync } from "node:fs";
import * as net from "node:net";
import { join } from "node:path";
import * as tls from "node:tls";
import { fileURLToPath } from "node:url";
import { expect } from "chai";
import { describe, it } from "mocha";
import { TestDeployment } from "./support/test_deployment.ts";

const CHAT_BODY = JSON.stringify({
  model: "monogram",
  stream: true,
  max_tokens: 5,
  messages: [{ role: "user", content: "hello" }],
});

function fixturePath(name: string): string {
  return fileURLToPath(
    new URL(`../../../peer/tests/fixtures/${name}`, import.meta.url),
  );
}

/** Sends a chat request over a socket and reads until the connection closes. */
async function sendRawRequest(
  socket: net.Socket,
  { key, body, halfClose }: { key: string; body: string; halfClose: boolean },
): Promise<string> {
  socket.write(
    "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\n" +
      `authorization: Bearer ${key}\r\ncontent-length: ${body.length}\r\n\r\n` +
      body,
  );
  if (halfClose) {
    socket.end();
  }
  let text = "";
  for await (const chunk of socket) {
    text += String(chunk);
  }
  return text;
}

describe("caller connections", () => {
  it("cancels the work when a caller half-closes its connection", async () => {
    const fleet = new TestDeployment();
    await fleet.start(1);
    await fleet.settled();
    const [host, port] = fleet.nodes[0]!.callers.split(":");
    const socket = net.connect({
      host: host!,
      port: Number(port),
      allowHalfOpen: true,
    });
    const body = CHAT_BODY.replace('"max_tokens":5', '"max_tokens":100000');
    const { key } = fleet.members[0]!;
    await sendRawRequest(socket, { key, body, halfClose: true });
    const engines = [...fleet.deployment.models.values()];
    while (engines.some(({ inFlight }) => inFlight > 0)) {
      await new Promise((resolve) => setTimeout(resolve, 20));
    }
    await fleet.close();
    const startedCount = engines.reduce((sum, { started }) => sum + started, 0);
    expect(startedCount).to.be.at.most(1);
  });

  it("uses TLS if a certificate is configured, and reloads the certificate", async () => {
    const fleet = new TestDeployment();
    const cert = join(fleet.directory, "callers.pem");
    const key = join(fleet.directory, "callers.key");
    const installCertificate = (name: string) => {
      copyFileSync(fixturePath(`${name}.node.pem`), cert);
      copyFileSync(fixturePath(`${name}.node.key`), key);
    };
    installCertificate("fleet");
    await fleet.start(1, {
      adjustSettings: (settings) => {
        settings.tls.callers = { cert_file: cert, key_file: key };
        settings.tls.reload_interval = 20;
      },
    });
    const [host, port] = fleet.nodes[0]!.callers.split(":");
    const connect = async (authority: string): Promise<tls.TLSSocket> => {
      const socket = tls.connect({
        host: host!,
        port: Number(port),
        ca: readFileSync(fixturePath(`${authority}.ca.pem`)),
        checkServerIdentity: () => undefined,
      });
      await new Promise<void>((resolve, reject) => {
        socket.once("secureConnect", resolve);
        socket.once("error", reject);
      });
      return socket;
    };
    const first = await connect("fleet");
    const text = await sendRawRequest(first, {
      key: fleet.members[0]!.key,
      body: CHAT_BODY,
      halfClose: false,
    });
    installCertificate("other");
    let reloaded = false;
    while (!reloaded) {
      await new Promise((resolve) => setTimeout(resolve, 20));
      reloaded = await connect("other").then((socket) => {
        socket.destroy();
        return true;
      }, () => false);
    }
    await fleet.close();
    expect(text).to.contain("data: [DONE]");
  });
});
