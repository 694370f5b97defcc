/** A point in the history of the store. */
export interface StorePosition {
  /** Rises each time the store comes back from a copy without its latest writes;
   * revisions of different eras cannot be compared. */
  era: number;
  /** Store-wide revision; increases with each change within an era. */
  revision: number;
}

/** Era of a store that names none. */
export const UNNAMED_ERA = 0;

/** Position of a node that has not read any state yet. */
export const NO_POSITION: StorePosition = { era: UNNAMED_ERA, revision: 0 };

/** Orders positions by era, then by revision: negative if `a` is before `b`. */
export function comparePositions(a: StorePosition, b: StorePosition): number {
  return a.era - b.era || a.revision - b.revision;
}

/** Whether a value from another process is an era. */
export function isEra(value: unknown): value is number {
  return Number.isSafeInteger(value) && (value as number) >= 0;
}
