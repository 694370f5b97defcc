import type { Buffer } from "node:buffer";
import * as http from "node:http";
import type { Socket } from "node:net";
import { listenOn } from "./listen_on.ts";

/** HTTP server that terminates open connections when it is closed. */
export class HttpService {
  readonly #server: http.Server;

  constructor(handler: http.RequestListener) {
    this.#server = http.createServer(handler);
  }

  /** Handles requests with the method `CONNECT`, which are refused otherwise. */
  protected onConnect(
    handler: (req: http.IncomingMessage, socket: Socket, head: Buffer) => void,
  ): void {
    this.#server.on(
      "connect",
      (req, socket, head) => handler(req, socket as Socket, head),
    );
  }

  /** Starts listening on `ip:port`; resolves to the bound address. */
  listen(address: string): Promise<string> {
    return listenOn(this.#server, address);
  }

  /** Stops listening and closes all connections. */
  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }
}
