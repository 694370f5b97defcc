import type { HeldPart } from "@limpetshed/dispatch";

/** Held parts as they travel: ids of parts and endpoint keys in turn. */
export function flatParts(held: readonly HeldPart[]): string[] {
  return held.flatMap(({ partId, endpoint }) => [partId, endpoint]);
}

/** Held parts from how they travel. */
export function heldParts(flat: readonly string[]): HeldPart[] {
  const held: HeldPart[] = [];
  for (let at = 0; at + 1 < flat.length; at += 2) {
    held.push({ partId: flat[at]!, endpoint: flat[at + 1]! });
  }
  return held;
}
