import * as http from "node:http";
import * as https from "node:https";
import { abortResponse, listenOn } from "@limpetshed/base";

/** PEM-encoded certificate and private key. */
export interface ServerTls {
  cert: string;
  key: string;
}

/** Options of {@linkcode HttpListener}. */
export interface HttpListenerOptions {
  handler: http.RequestListener;
  tls?: ServerTls;
  /** Maximum total size of a request's headers, in bytes. */
  maxHeaderBytes: number;
}

const HEADERS_TIMEOUT_MS = 10_000;
const KEEP_ALIVE_TIMEOUT_MS = 30_000;
const CLOSE_IDLE_INTERVAL_MS = 100;

/** An HTTP server on one address. */
export class HttpListener {
  readonly #server: http.Server;
  readonly #responses = new Set<http.ServerResponse>();

  constructor({ handler, tls, maxHeaderBytes }: HttpListenerOptions) {
    const options = {
      maxHeaderSize: maxHeaderBytes,
      headersTimeout: HEADERS_TIMEOUT_MS,
      keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
      requestTimeout: 0,
      noDelay: true,
    };
    const listener: http.RequestListener = (req, res) => {
      this.#responses.add(res);
      res.once("close", () => this.#responses.delete(res));
      handler(req, res);
    };
    this.#server = tls === undefined
      ? http.createServer(options, listener)
      : https.createServer({ ...options, ...tls }, listener);
  }

  /** Starts listening on `ip:port`; returns the actual address. */
  listen(address: string): Promise<string> {
    return listenOn(this.#server, address);
  }

  /** Replaces the certificate for new connections; ignored without TLS. */
  reloadTls(tls: ServerTls): void {
    if (this.#server instanceof https.Server) {
      this.#server.setSecureContext(tls);
    }
  }

  /**
   * Stops accepting connections, waits for open requests and closes each
   * connection once it is idle.
   */
  async drain(): Promise<void> {
    const closed = new Promise<void>((resolve) =>
      this.#server.close(() => resolve())
    );
    const closeIdle = setInterval(
      () => this.#server.closeIdleConnections(),
      CLOSE_IDLE_INTERVAL_MS,
    );
    await closed;
    clearInterval(closeIdle);
  }

  /** Closes all connections immediately. */
  abort(): void {
    this.#responses.forEach((res) => abortResponse(res));
    this.#server.closeAllConnections();
  }
}
