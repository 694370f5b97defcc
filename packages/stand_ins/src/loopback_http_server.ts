import * as http from "node:http";
import { listenOn } from "@limpetshed/base";
import { Buffer } from "node:buffer";

/**
 * Handles one request. A rejection is answered with status 500, or closes the
 * connection if the response has started.
 */
export type HttpHandler = (
  req: http.IncomingMessage,
  res: http.ServerResponse,
) => Promise<void>;

/** HTTP server that listens on the loopback interface. */
export class LoopbackHttpServer {
  readonly #server: http.Server;

  constructor(handler: HttpHandler) {
    this.#server = http.createServer((req, res) => {
      handler(req, res).catch(() => {
        if (res.headersSent) {
          res.destroy();
        } else {
          sendJson(res, 500, { error: "handler failed" });
        }
      });
    });
  }

  /** Starts listening; returns the bound `ip:port`. */
  listen(port = 0): Promise<string> {
    return listenOn(this.#server, `127.0.0.1:${port}`);
  }

  /** Closes all open connections, including active ones. */
  breakConnections(): void {
    this.#server.closeAllConnections();
  }

  /** Closes all connections and stops the server. */
  async close(): Promise<void> {
    this.breakConnections();
    await new Promise<void>((resolve) => this.#server.close(() => resolve()));
  }
}

/** Sends a JSON response. */
export function sendJson(
  res: http.ServerResponse,
  status: number,
  data: unknown,
  headers: Record<string, string> = {},
): void {
  const body = JSON.stringify(data);
  res.writeHead(status, { "content-type": "application/json", ...headers });
  res.end(body);
}

/** Reads the complete request body as UTF-8 text. */
export async function readBody(req: http.IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of req) {
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks).toString("utf8");
}
