import { type Clock, parseJson, withTimeout } from "@limpetshed/base";
import type { IncomingHttpHeaders } from "node:http";
import { Client } from "undici";
import { CHANGES_LONG_POLL_MS } from "./peer_server.ts";

/** A parsed JSON response. */
export interface PeerResponse {
  value: unknown;
  headers: IncomingHttpHeaders;
  /** Monotonic time at which the response head arrived. */
  headMs: number;
}

/** Call timeout: the long-poll timeout plus many network round trips. */
const CALL_TIMEOUT_MS = CHANGES_LONG_POLL_MS + 300;

/**
 * HTTP client for other nodes, one call at a time. Reuses the connection to the
 * node called last; a connection on which a call failed or timed out is closed.
 */
export class PeerClient {
  readonly #clock: Clock;
  #connection: { address: string; client: Client } | undefined;

  constructor({ clock }: { clock: Clock }) {
    this.#clock = clock;
  }

  /** Sends a GET request to the node at `ip:port`. */
  async getJson(
    address: string,
    { path, signal }: { path: string; signal: AbortSignal },
  ): Promise<PeerResponse> {
    const client = this.#clientFor(address);
    try {
      return await withTimeout(
        this.#clock,
        this.#sendRequest(client, { path, signal }),
        {
          ms: CALL_TIMEOUT_MS,
          onTimeout: () => new Error(`request to peer ${address} timed out`),
        },
      );
    } catch (err) {
      this.close();
      throw err;
    }
  }

  /** Closes the current connection. */
  close(): void {
    // Errors are ignored: no caller awaits the calls still on the connection.
    this.#connection?.client.destroy().catch(() => undefined);
    this.#connection = undefined;
  }

  #clientFor(address: string): Client {
    if (this.#connection?.address !== address) {
      this.close();
      this.#connection = { address, client: new Client(`http://${address}`) };
    }
    return this.#connection.client;
  }

  async #sendRequest(
    client: Client,
    { path, signal }: { path: string; signal: AbortSignal },
  ): Promise<PeerResponse> {
    const { statusCode, headers, body } = await client.request({
      method: "GET",
      path,
      signal,
    });
    const headMs = this.#clock.monotonicMs();
    const text = await body.text();
    if (statusCode !== 200) {
      throw new Error(`peer responded with status ${statusCode}`);
    }
    return { value: parseJson(text, "the peer's response"), headers, headMs };
  }
}
