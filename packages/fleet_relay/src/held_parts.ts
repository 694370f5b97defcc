import type { CachedPart } from "@limpetshed/dispatch";
import { flattenPairs, unflattenPairs } from "./flat_pairs.ts";

/** Encodes held parts for other nodes: part ids and endpoint keys in turn. */
export function encodeHeldParts(held: readonly CachedPart[]): string[] {
  return flattenPairs(held, ["partId", "endpoint"]);
}

/** Decodes held parts received from another node. */
export function decodeHeldParts(flat: readonly string[]): CachedPart[] {
  return unflattenPairs(flat).map(([partId, endpoint]) => ({
    partId,
    endpoint,
  }));
}
