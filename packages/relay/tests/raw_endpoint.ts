import * as net from "node:net";
import { listenOn } from "@limpetshed/base";

/** A request that a raw endpoint received. */
export interface RawRequest {
  id: string;
  /** Ids of the earlier requests on the same connection. */
  earlierIds: readonly string[];
  socket: net.Socket;
}

/** An endpoint whose responses are bytes that the test writes. */
export class RawEndpoint {
  /** Ids of the requests received, in order. */
  readonly ids: string[] = [];
  /** Number of connections accepted. */
  connections = 0;
  readonly #server: net.Server;
  readonly #sockets = new Set<net.Socket>();

  constructor(handler: (request: RawRequest) => void) {
    this.#server = net.createServer((socket) => {
      this.connections += 1;
      this.#sockets.add(socket);
      socket.on("close", () => this.#sockets.delete(socket));
      // Resets by the node are expected.
      socket.on("error", () => undefined);
      const earlierIds: string[] = [];
      let received = "";
      socket.on("data", (chunk: Buffer) => {
        received += chunk.toString("latin1");
        for (;;) {
          const headEnd = received.indexOf("\r\n\r\n");
          const head = received.slice(0, headEnd);
          const bodyBytes = Number(
            /content-length: (\d+)/i.exec(head)?.[1] ?? 0,
          );
          const end = headEnd + 4 + bodyBytes;
          if (headEnd < 0 || received.length < end) {
            return;
          }
          received = received.slice(end);
          const id = /^x-id: (.*)$/im.exec(head)?.[1]?.trim() ?? "";
          this.ids.push(id);
          handler({ id, earlierIds: [...earlierIds], socket });
          earlierIds.push(id);
        }
      });
    });
  }

  /** Listens on loopback; returns `ip:port`. */
  listen(): Promise<string> {
    return listenOn(this.#server, "127.0.0.1:0");
  }

  close(): void {
    this.#server.close();
    this.#sockets.forEach((socket) => socket.destroy());
  }
}

/** Bytes of a signed answer. */
export function answerBytes(id: string): string {
  const body = `answer to ${id}`;
  return `HTTP/1.1 200 OK\r\nx-id: ${id}\r\nx-signed: 1\r\n` +
    `content-length: ${body.length}\r\n\r\n${body}`;
}

/** Bytes of a refusal that says that the request did not run. */
export function refusalBytes(id: string, status: number): string {
  return `HTTP/1.1 ${status} Refused\r\nx-id: ${id}\r\nx-not-run: 1\r\n` +
    "content-length: 0\r\n\r\n";
}
