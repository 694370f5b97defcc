import * as http from "node:http";
import { listenOn } from "@limpetshed/base";
import { Buffer } from "node:buffer";

/** Handles one request; what it throws becomes status 500. */
export type HttpHandler = (
  req: http.IncomingMessage,
  res: http.ServerResponse,
) => Promise<void>;

/** A plain HTTP server on loopback for the stand-ins. */
export class LoopbackHttpServer {
  readonly #server: http.Server;

  constructor(handler: HttpHandler) {
    this.#server = http.createServer((req, res) => {
      handler(req, res).catch(() => {
        if (res.headersSent) {
          res.destroy();
        } else {
          sendJson(res, 500, { error: "stand-in failed" });
        }
      });
    });
  }

  /** Starts listening; returns `ip:port`. */
  listen(port = 0): Promise<string> {
    return listenOn(this.#server, `127.0.0.1:${port}`);
  }

  /** Breaks every open connection. */
  breakConnections(): void {
    this.#server.closeAllConnections();
  }

  /** Stops the server. */
  async close(): Promise<void> {
    this.breakConnections();
    await new Promise<void>((resolve) => this.#server.close(() => resolve()));
  }
}

/** Answers with a JSON body. */
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

/** Reads a whole request body as text. */
export async function readBody(req: http.IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of req) {
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks).toString("utf8");
}
