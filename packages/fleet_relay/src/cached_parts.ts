import type { CachedPart } from "@limpetshed/dispatch";
import { flattenPairs, unflattenPairs } from "./flat_pairs.ts";

/** Encodes cached parts for other nodes: alternating part ids and endpoint
 * keys. */
export function encodeCachedParts(parts: readonly CachedPart[]): string[] {
  return flattenPairs(parts, ["partId", "endpoint"]);
}

/** Decodes cached parts received from another node. */
export function decodeCachedParts(flat: readonly string[]): CachedPart[] {
  return unflattenPairs(flat).map(([partId, endpoint]) => ({
    partId,
    endpoint,
  }));
}
