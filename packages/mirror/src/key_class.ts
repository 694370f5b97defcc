/** Keys that are confirmed, and can be read, apart from the others: news of few
 * bytes must not wait for a change of many. */
export interface KeyClass {
  /** Label of logs and metrics. */
  name: string;
  /** Prefixes of the keys; the empty prefix matches all that no other class
   * has. */
  prefixes: readonly string[];
  /** Whether its changes can be so large that they should be transferred once
   * only. */
  isBulky?: boolean;
}

/** The one class of a mirror that does not tell keys apart. */
export const ALL_KEYS: KeyClass = { name: "all", prefixes: [""] };

/** Returns the class with the longest prefix that `key` begins with. */
export function findKeyClass(
  classes: readonly KeyClass[],
  key: string,
): KeyClass | undefined {
  let found: KeyClass | undefined;
  let foundLength = -1;
  for (const keyClass of classes) {
    for (const prefix of keyClass.prefixes) {
      if (prefix.length > foundLength && key.startsWith(prefix)) {
        found = keyClass;
        foundLength = prefix.length;
      }
    }
  }
  return found;
}
