import { type Clock, sleep } from "@limpetshed/base";
import type { Endpoint } from "./endpoint_registry.ts";
import type { CachedPart, PrefixCacheIndex } from "./prefix_cache_index.ts";

/** Options of {@linkcode recoverPrefixCache}. */
export interface PrefixCacheRecoveryOptions {
  clock: Clock;
  cacheIndex: PrefixCacheIndex;
  signal: AbortSignal;
  /** Fetches another node's snapshot; rejects if no node responds. */
  fetchFromPeer: () => Promise<CachedPart[]>;
  /** Endpoints whose cache contents this node fetches for the fleet. */
  assignedEndpoints: () => readonly Endpoint[];
  /** Fetches the ids of the parts that an endpoint caches. */
  fetchPartIds: (endpoint: Endpoint) => Promise<string[]>;
  /** Called for each endpoint that gave no valid response. */
  onEndpointFailed: (endpoint: Endpoint) => void;
}

/** Result of a recovery. */
export interface PrefixCacheRecovery {
  source: "peer" | "endpoints" | "none";
  /** Number of entries added to the index. */
  parts: number;
  /** Number of endpoints that did not respond. */
  failed: number;
}

/** Attempts to fetch from another node. */
const MAX_PEER_ATTEMPTS = 3;
/** Pause between attempts; long enough for nodes that start together to become
 * ready. */
const PEER_RETRY_DELAY_MS = 150;

/**
 * Restores the prefix cache index after a restart: from another node or, if no
 * node has entries, from the endpoints themselves. Each endpoint is queried by
 * one node, which sends its entries to the others. With an empty index,
 * rendezvous hashing would send prompts to endpoints that do not cache them and
 * have to process them again.
 */
export async function recoverPrefixCache(
  options: PrefixCacheRecoveryOptions,
): Promise<PrefixCacheRecovery> {
  const { clock, cacheIndex, signal, fetchFromPeer } = options;
  for (
    let attempt = 0;
    attempt < MAX_PEER_ATTEMPTS && !signal.aborted;
    attempt += 1
  ) {
    try {
      const cachedParts = await fetchFromPeer();
      if (cachedParts.length > 0) {
        cacheIndex.applyPeerUpdates(cachedParts);
        return { source: "peer", parts: cachedParts.length, failed: 0 };
      }
      break;
    } catch {
      // No node responds yet; the endpoints are queried after the last attempt.
      await sleep(clock, PEER_RETRY_DELAY_MS, { signal });
    }
  }
  return await recoverFromEndpoints(options);
}

async function recoverFromEndpoints(
  {
    cacheIndex,
    assignedEndpoints,
    fetchPartIds,
    onEndpointFailed,
  }: PrefixCacheRecoveryOptions,
): Promise<PrefixCacheRecovery> {
  const endpoints = assignedEndpoints();
  const results = await Promise.allSettled(endpoints.map(fetchPartIds));
  let parts = 0;
  let failed = 0;
  results.forEach((result, index) => {
    if (result.status === "rejected") {
      failed += 1;
      onEndpointFailed(endpoints[index]!);
      return;
    }
    parts += result.value.length;
    const endpoint = endpoints[index]!.key;
    result.value.forEach((partId) =>
      cacheIndex.recordCached({ partId, endpoint })
    );
  });
  return { source: parts > 0 ? "endpoints" : "none", parts, failed };
}
