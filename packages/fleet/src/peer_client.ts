import type { IncomingHttpHeaders } from "node:http";
import { gunzipSync } from "node:zlib";
import {
  type Clock,
  createGuardedClient,
  parseJson,
  readStream,
  withProgressTimeout,
} from "@limpetshed/base";
import type { Dispatcher } from "undici";
import { CHANGES_LONG_POLL_MS, GZIP } from "./peer_server.ts";

/** A parsed JSON response. */
export interface PeerResponse {
  value: unknown;
  headers: IncomingHttpHeaders;
  /** Monotonic time at which the response head arrived. */
  headMs: number;
}

/** Time without a byte after which a call has failed, milliseconds: the long-poll
 * timeout plus many network round trips. */
const IDLE_TIMEOUT_MS = CHANGES_LONG_POLL_MS + 300;
/** Upper bound of the time of a call, milliseconds; a slow link carries the
 * largest configuration in less. */
const CALL_TIMEOUT_MS = 5_000;
/** Several times the shared state of a large fleet. */
const MAX_RESPONSE_BYTES = 32 * 1_024 * 1_024;

/**
 * HTTP client for other nodes, one call at a time. Reuses the connection to the
 * node called last; a connection on which a call failed or timed out is closed.
 */
export class PeerClient {
  readonly #clock: Clock;
  #connection: { address: string; client: Dispatcher } | undefined;

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
      return await withProgressTimeout(
        this.#clock,
        (onProgress) => this.#sendRequest(client, { path, signal, onProgress }),
        {
          idleMs: IDLE_TIMEOUT_MS,
          totalMs: CALL_TIMEOUT_MS,
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

  #clientFor(address: string): Dispatcher {
    if (this.#connection?.address !== address) {
      this.close();
      this.#connection = {
        address,
        client: createGuardedClient(`http://${address}`),
      };
    }
    return this.#connection.client;
  }

  async #sendRequest(
    client: Dispatcher,
    { path, signal, onProgress }: {
      path: string;
      signal: AbortSignal;
      onProgress: () => void;
    },
  ): Promise<PeerResponse> {
    const { statusCode, headers, body } = await client.request({
      method: "GET",
      path,
      signal,
      headers: { "accept-encoding": GZIP },
    });
    const headMs = this.#clock.monotonicMs();
    onProgress();
    const encoded = await readStream(body, {
      maxBytes: MAX_RESPONSE_BYTES,
      onProgress,
    });
    if (statusCode !== 200) {
      throw new Error(`peer responded with status ${statusCode}`);
    }
    const text = headers["content-encoding"] === GZIP
      ? gunzipSync(encoded, { maxOutputLength: MAX_RESPONSE_BYTES })
      : encoded;
    const value = parseJson(text.toString("utf8"), "the peer's response");
    return { value, headers, headMs };
  }
}
