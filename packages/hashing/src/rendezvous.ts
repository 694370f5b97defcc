import { hash64 } from "./hash64.ts";

/**
 * Ranks `ids` for `key` by rendezvous hashing (highest random weight), best
 * first. Adding or removing an id only reassigns the keys mapped to that id.
 */
export function rendezvousRank(
  key: string,
  ids: readonly string[],
): string[] {
  const weighted = ids.map((id) => ({
    id,
    weight: hash64(`${key}\u0000${id}`),
  }));
  weighted.sort((a, b) => compareWeights(a, b));
  return weighted.map((entry) => entry.id);
}

/** Returns the highest-ranked id for `key`; undefined if `ids` is empty. */
export function rendezvousFirst(
  key: string,
  ids: readonly string[],
): string | undefined {
  let best: Weighted | undefined;
  for (const id of ids) {
    const next = { id, weight: hash64(`${key}\u0000${id}`) };
    if (best === undefined || compareWeights(next, best) < 0) {
      best = next;
    }
  }
  return best?.id;
}

interface Weighted {
  id: string;
  weight: bigint;
}

function compareWeights(a: Weighted, b: Weighted): number {
  if (a.weight !== b.weight) {
    return a.weight > b.weight ? -1 : 1;
  }
  return a.id < b.id ? -1 : 1;
}
