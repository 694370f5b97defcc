import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";

const RANGE = 0x1_0000_0000;

/** Seeded random numbers; the same seed gives the same run. */
export class Rng {
  readonly #generator: RandomGenerator;

  /** `seed` is any 32-bit integer. */
  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
  }

  /** Integer in `[0, below)`. */
  int(below: number): number {
    return uniformInt(this.#generator, 0, Math.max(0, below - 1));
  }

  /** Number in `[0, 1)`. */
  fraction(): number {
    return this.int(RANGE) / RANGE;
  }

  /** Factor in `[1 - spread, 1 + spread)`, for jittered intervals. */
  jitter(spread = 0.2): number {
    return 1 - spread + 2 * spread * this.fraction();
  }

  /** One of `items`; undefined if there are none. */
  pick<T>(items: readonly T[]): T | undefined {
    return items.length === 0 ? undefined : items[this.int(items.length)];
  }

  /** A shuffled copy of `items`. */
  shuffle<T>(items: readonly T[]): T[] {
    const copy = [...items];
    for (let at = copy.length - 1; at > 0; at -= 1) {
      const other = this.int(at + 1);
      [copy[at], copy[other]] = [copy[other]!, copy[at]!];
    }
    return copy;
  }
}
