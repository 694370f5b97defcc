import type { CachedPart } from "@limpetshed/dispatch";
import { flatPairs, pairsOf } from "./flat_pairs.ts";

/** Held parts as they travel: ids of parts and endpoint keys in turn. */
export function flatParts(held: readonly CachedPart[]): string[] {
  return flatPairs(held, ["partId", "endpoint"]);
}

/** Held parts from how they travel. */
export function heldParts(flat: readonly string[]): CachedPart[] {
  return pairsOf(flat).map(([partId, endpoint]) => ({ partId, endpoint }));
}
