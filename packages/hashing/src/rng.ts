import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";

const UINT32_RANGE = 0x1_0000_0000;

/** Seeded random number generator; equal seeds give equal sequences. */
export class Rng {
  readonly #generator: RandomGenerator;

  /** `seed` is any 32-bit integer. */
  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
  }

  /** Integer in `[0, bound)`. */
  int(bound: number): number {
    return uniformInt(this.#generator, 0, Math.max(0, bound - 1));
  }

  /** Number in `[0, 1)`. */
  fraction(): number {
    return this.int(UINT32_RANGE) / UINT32_RANGE;
  }

  /** Factor in `[1 - spread, 1 + spread)` that adds jitter to an interval. */
  jitter(spread = 0.2): number {
    return 1 - spread + 2 * spread * this.fraction();
  }

  /** Random element of `items`; undefined if `items` is empty. */
  pick<T>(items: readonly T[]): T | undefined {
    return items.length === 0 ? undefined : items[this.int(items.length)];
  }

  /** Returns a shuffled copy of `items`. */
  shuffle<T>(items: readonly T[]): T[] {
    const copy = [...items];
    for (let index = copy.length - 1; index > 0; index -= 1) {
      const swapIndex = this.int(index + 1);
      [copy[index], copy[swapIndex]] = [copy[swapIndex]!, copy[index]!];
    }
    return copy;
  }
}
