import type { HeldPart } from "@limpetshed/dispatch";
import { flatPairs, pairsOf } from "./flat_pairs.ts";

/** Held parts as they travel: ids of parts and endpoint keys in turn. */
export function flatParts(held: readonly HeldPart[]): string[] {
  return flatPairs(held, ["partId", "endpoint"]);
}

/** Held parts from how they travel. */
export function heldParts(flat: readonly string[]): HeldPart[] {
  return pairsOf(flat).map(([partId, endpoint]) => ({ partId, endpoint }));
}
