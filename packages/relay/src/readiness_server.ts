import * as http from "node:http";
import { listenOn } from "@limpetshed/base";

/** Options of {@linkcode ReadinessServer}. */
export interface ReadinessServerOptions {
  /** Path that the balancer asks for. */
  path: string;
  isReady: () => boolean;
}

/** Tells the balancer whether new connections may come here. */
export class ReadinessServer {
  readonly #server: http.Server;

  constructor({ path, isReady }: ReadinessServerOptions) {
    this.#server = http.createServer((req, res) => {
      const status = req.url !== path ? 404 : isReady() ? 200 : 503;
      res.writeHead(status, { "content-length": "0" });
      res.end();
    });
  }

  /** Starts listening on `ip:port`. */
  async listen(address: string): Promise<void> {
    await listenOn(this.#server, address);
  }

  /** Stops listening. */
  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }
}
