/** Flattens objects to a list of the alternating values of two of their
 * fields. */
export function flattenPairs<First extends string, Second extends string>(
  items: readonly Readonly<Record<First | Second, string>>[],
  [first, second]: readonly [First, Second],
): string[] {
  return items.flatMap((item) => [item[first], item[second]]);
}

/** Restores the pairs of a flat list; drops an unpaired last value. */
export function unflattenPairs(flat: readonly string[]): [string, string][] {
  const pairs: [string, string][] = [];
  for (let index = 0; index + 1 < flat.length; index += 2) {
    pairs.push([flat[index]!, flat[index + 1]!]);
  }
  return pairs;
}
