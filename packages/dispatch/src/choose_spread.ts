/** How strongly the cheaper of two items is preferred: 10% cheaper is chosen twice
 * as often, 30% eight times as often. */
const PREFERENCE_EXPONENT = 8;

/** Options of {@linkcode chooseSpread}. */
export interface SpreadOptions<T> {
  /** Positive cost of an item. */
  cost: (item: T) => number;
  /** Whether the item goes first if it is about as good. */
  isNear: (item: T) => boolean;
  /** Factor by which items that are not near have to be better. */
  farFactor: number;
  /** Whether nobody else chooses by these costs: then the cheapest is best. */
  isAlone: boolean;
  /** Returns a number in `[0, 1)`. */
  random: () => number;
}

/**
 * Chooses a good item such that many who see the same costs do not all choose the
 * same one: two random near items are compared, and the cheaper one is likelier by
 * how much cheaper it is. Items that are not near are compared likewise and win if
 * they cost clearly less. Of many items none gets more than twice its equal part
 * of the choices in its group. Undefined if there are no items.
 */
export function chooseSpread<T>(
  items: readonly T[],
  options: SpreadOptions<T>,
): T | undefined {
  const { cost, isNear, farFactor } = options;
  const choose = options.isAlone ? chooseCheapest : choosePair;
  const near = choose(items.filter(isNear), options);
  const far = choose(items.filter((item) => !isNear(item)), options);
  if (near === undefined || far === undefined) {
    return near ?? far;
  }
  return cost(far) * farFactor < cost(near) ? far : near;
}

function chooseCheapest<T>(
  items: readonly T[],
  { cost }: SpreadOptions<T>,
): T | undefined {
  let best = items[0];
  for (const item of items) {
    if (cost(item) < cost(best!)) {
      best = item;
    }
  }
  return best;
}

function choosePair<T>(
  items: readonly T[],
  { cost, random }: SpreadOptions<T>,
): T | undefined {
  if (items.length <= 1) {
    return items[0];
  }
  const index = Math.floor(random() * items.length);
  const step = 1 + Math.floor(random() * (items.length - 1));
  const first = items[index]!;
  const second = items[(index + step) % items.length]!;
  const odds = (cost(second) / cost(first)) ** PREFERENCE_EXPONENT;
  return random() * (1 + odds) < odds ? first : second;
}
