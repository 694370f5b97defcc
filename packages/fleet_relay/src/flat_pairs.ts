/** Objects of two texts as they travel: the fields named, in turn. */
export function flatPairs<First extends string, Second extends string>(
  items: readonly Readonly<Record<First | Second, string>>[],
  [first, second]: readonly [First, Second],
): string[] {
  return items.flatMap((item) => [item[first], item[second]]);
}

/** Pairs of texts from how they travel; a last one without its other half is
 * left out. */
export function pairsOf(flat: readonly string[]): [string, string][] {
  const pairs: [string, string][] = [];
  for (let at = 0; at + 1 < flat.length; at += 2) {
    pairs.push([flat[at]!, flat[at + 1]!]);
  }
  return pairs;
}
