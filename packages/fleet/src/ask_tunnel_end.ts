import { type Clock, withTimeout } from "@limpetshed/base";
import { PeerClient } from "./peer_client.ts";
import { TUNNEL_END_PATH } from "./peer_server.ts";

/** Options of {@linkcode askTunnelEnd}. */
export interface AskTunnelEndOptions {
  clock: Clock;
  /** `ip:port` at which the node that gave the tunnel takes calls. */
  helper: string;
  id: string;
  timeoutMs: number;
}

/** Asks the node that gave a tunnel whether the endpoint ended it in order: the
 * system closes the tunnels of a node that ends as it does those of an endpoint.
 * Resolves to false also if the node does not answer. */
export async function askTunnelEnd(
  { clock, helper, id, timeoutMs }: AskTunnelEndOptions,
): Promise<boolean> {
  const client = new PeerClient({ clock });
  const { signal } = new AbortController();
  const path = `${TUNNEL_END_PATH}?id=${encodeURIComponent(id)}`;
  try {
    const { value } = await withTimeout(
      clock,
      client.getJson(helper, { path, signal }),
      { ms: timeoutMs, onTimeout: () => new Error("no answer in time") },
    );
    return (value as { hasEnded?: unknown }).hasEnded === true;
  } catch {
    return false;
  } finally {
    client.close();
  }
}
