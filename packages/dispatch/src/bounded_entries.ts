/**
 * Options of an LRU cache that holds up to `maxEntries` and takes memory as it
 * fills. With the option `max`, the library lays out all entries when the cache
 * is made and overwrites them all when the only one is deleted.
 */
export function boundedEntries(
  maxEntries: number,
): { maxSize: number; sizeCalculation: () => number } {
  return { maxSize: maxEntries, sizeCalculation: () => 1 };
}
