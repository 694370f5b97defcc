import { type Clock, sleep } from "@limpetshed/base";
import type { Endpoint } from "./endpoint_registry.ts";
import type { CachedPart, PrefixCacheIndex } from "./prefix_cache_index.ts";

/** Options of {@linkcode recoverPrefixCache}. */
export interface PrefixCacheRecoveryOptions {
  clock: Clock;
  cacheIndex: PrefixCacheIndex;
  signal: AbortSignal;
  /** What another node knows; rejects if none can be asked. */
  fetchFromPeer: () => Promise<CachedPart[]>;
  /** Endpoints whose own lists this node reads for the fleet. */
  assignedEndpoints: () => readonly Endpoint[];
  /** Ids of the parts that an endpoint holds. */
  fetchPartIds: (endpoint: Endpoint) => Promise<string[]>;
}

/** How a recovery ended. */
export interface PrefixCacheRecovery {
  source: "peer" | "endpoints" | "none";
  parts: number;
  /** Endpoints that did not answer. */
  failed: number;
}

/** Tries to ask another node. */
const PEER_TRIES = 3;
/** Pause between tries; nodes that start together are up within this. */
const PEER_PAUSE_MS = 150;

/**
 * Answers restarts of one node or of all: what endpoints hold is learnt from
 * another node, or, where no node knows, from the endpoints' own lists, each
 * read by one node, which tells the others. Without it every text would be
 * read again wherever hashing puts it now.
 */
export async function recoverPrefixCache(
  options: PrefixCacheRecoveryOptions,
): Promise<PrefixCacheRecovery> {
  const { clock, cacheIndex: holders, signal, fetchFromPeer: askPeer } =
    options;
  for (let at = 0; at < PEER_TRIES && !signal.aborted; at += 1) {
    try {
      const held = await askPeer();
      if (held.length > 0) {
        holders.applyPeerUpdates(held);
        return { source: "peer", parts: held.length, failed: 0 };
      }
      break;
    } catch {
      // No node answers yet; the endpoints' own lists are the other way.
      await sleep(clock, PEER_PAUSE_MS, { signal });
    }
  }
  return await askEndpoints(options);
}

async function askEndpoints(
  {
    cacheIndex: holders,
    assignedEndpoints: ownEndpoints,
    fetchPartIds: askEndpoint,
  }: PrefixCacheRecoveryOptions,
): Promise<PrefixCacheRecovery> {
  const endpoints = ownEndpoints();
  const lists = await Promise.allSettled(endpoints.map(askEndpoint));
  let parts = 0;
  let failed = 0;
  lists.forEach((list, at) => {
    if (list.status === "rejected") {
      failed += 1;
      return;
    }
    parts += list.value.length;
    const endpoint = endpoints[at]!.key;
    list.value.forEach((partId) => holders.sent({ partId, endpoint }));
  });
  return { source: parts > 0 ? "endpoints" : "none", parts, failed };
}
