/** Flattens objects to the values of two of their fields, in turn. */
export function flattenPairs<First extends string, Second extends string>(
  items: readonly Readonly<Record<First | Second, string>>[],
  [first, second]: readonly [First, Second],
): string[] {
  return items.flatMap((item) => [item[first], item[second]]);
}

/** Restores the pairs of a flat list; drops a last value without a partner. */
export function unflattenPairs(flat: readonly string[]): [string, string][] {
  const pairs: [string, string][] = [];
  for (let at = 0; at + 1 < flat.length; at += 2) {
    pairs.push([flat[at]!, flat[at + 1]!]);
  }
  return pairs;
}
