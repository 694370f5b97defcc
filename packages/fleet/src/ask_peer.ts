import { type Clock, withTimeout } from "@limpetshed/base";
import { Client } from "undici";
import { CHANGES_WAIT_MS } from "./peer_server.ts";

/** Longest time for an answer beside the waiting; many round trips. */
const CALL_TIMEOUT_MS = CHANGES_WAIT_MS + 300;

/** Asks the node at `ip:port`; resolves to its JSON answer. */
export async function askPeer(
  address: string,
  { path, clock, signal }: { path: string; clock: Clock; signal: AbortSignal },
): Promise<unknown> {
  const client = new Client(`http://${address}`);
  try {
    return await withTimeout(clock, exchange(client, { path, signal }), {
      ms: CALL_TIMEOUT_MS,
      onTimeout: () => new Error(`no answer from ${address} in time`),
    });
  } finally {
    client.destroy().catch(() => undefined);
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
  return JSON.parse(text);
}
