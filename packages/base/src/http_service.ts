import * as http from "node:http";
import { listenOn } from "./listen_on.ts";

/** A small HTTP server that breaks its connections when it is closed. */
export class HttpService {
  readonly #server: http.Server;

  constructor(handler: http.RequestListener) {
    this.#server = http.createServer(handler);
  }

  /** Starts listening on `ip:port`; returns the actual address. */
  listen(address: string): Promise<string> {
    return listenOn(this.#server, address);
  }

  /** Stops listening. */
  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }
}
