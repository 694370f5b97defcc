import { type Clock, parseJson, withTimeout } from "@limpetshed/base";
import { Client } from "undici";
import { CHANGES_WAIT_MS } from "./peer_server.ts";

/** Longest time for an answer beside the waiting; many round trips. */
const CALL_TIMEOUT_MS = CHANGES_WAIT_MS + 300;

/**
 * Asks other nodes, one call at a time. The connection to the node asked last
 * is kept; one on which a call failed or got no answer carries no further call.
 */
export class PeerClient {
  readonly #clock: Clock;
  #kept: { address: string; client: Client } | undefined;

  constructor({ clock }: { clock: Clock }) {
    this.#clock = clock;
  }

  /** Asks the node at `ip:port`; resolves to its JSON answer. */
  async ask(
    address: string,
    { path, signal }: { path: string; signal: AbortSignal },
  ): Promise<unknown> {
    const client = this.#connect(address);
    try {
      return await withTimeout(
        this.#clock,
        exchange(client, { path, signal }),
        {
          ms: CALL_TIMEOUT_MS,
          onTimeout: () => new Error(`no answer from ${address} in time`),
        },
      );
    } catch (err) {
      this.close();
      throw err;
    }
  }

  /** Closes the connection that is kept. */
  close(): void {
    // Only calls whose outcome nobody waits for are left.
    this.#kept?.client.destroy().catch(() => undefined);
    this.#kept = undefined;
  }

  #connect(address: string): Client {
    if (this.#kept?.address !== address) {
      this.close();
      this.#kept = { address, client: new Client(`http://${address}`) };
    }
    return this.#kept.client;
  }
}

async function exchange(
  client: Client,
  { path, signal }: { path: string; signal: AbortSignal },
): Promise<unknown> {
  const { statusCode, body } = await client.request({
    method: "GET",
    path,
    signal,
  });
  const text = await body.text();
  if (statusCode !== 200) {
    throw new Error(`the node answered with status ${statusCode}`);
  }
  return parseJson(text, "the answer");
}
