/** Answers of some endpoints on one route. */
export interface Tally {
  answered: number;
  failed: number;
  /** Answers by their duration, in steps of half an octave. */
  buckets: number[];
}

/** Answers of both versions on one route in the same time. */
export interface RouteTally {
  other: Tally;
  /** Answers of the target by group of its endpoints. */
  groups: ReadonlyMap<number, Tally>;
}

/** What the evidence says of a version. */
export type VersionVerdict = "good_so_far" | "in_doubt" | "bad";

interface Count {
  hits: number;
  total: number;
}

/** Trouble of the target, by group of its endpoints, and the rate of it that the
 * old version hardly exceeds. */
interface Trouble {
  rate: number;
  groups: ReadonlyMap<number, Count>;
}

/** Chance below which a version is bad. Tests run some thousand times in a
 * rollout, and a good version must not fail one. */
const BAD_CHANCE = 1e-6;
const DOUBT_CHANCE = 1e-3;
const NOTHING: Count = { hits: 0, total: 0 };
/** Rate of trouble below which versions aren't told apart. */
const MIN_RATE = 0.01;
/** Part of the groups that may be in trouble while the version is good. */
const SPARED_PART = 1 / 3;
/** Answers of the old version from which on it can be compared with. */
const MIN_COMPARABLE = 20;
/** Rate of trouble that is expected where there is nothing to compare with. */
const BLIND_RATE = 0.25;
/** Parts of the old version's answers with whose durations the target's are
 * compared. */
const SLOW_PARTS = [0.5, 0.1, 0.02];
/** A factor of two: prompts that aren't cached yet cost a new endpoint less. */
const SLOW_STEPS = 2;

/** Judges a version by its answers, compared with those of the old version on the
 * same route in the same time: each route by itself, and all of them together.
 * There is one comparison for each span of time. */
export function judgeVersion(
  comparisons: readonly (readonly RouteTally[])[],
): VersionVerdict {
  const least = Math.min(1, ...comparisons.map(leastChance));
  return least < BAD_CHANCE
    ? "bad"
    : least < DOUBT_CHANCE
    ? "in_doubt"
    : "good_so_far";
}

/** Upper bound (Chernoff) of the probability of at least `hits` in `total` draws
 * that hit with probability `rate` on average. */
export function tailBound({ hits, total }: Count, rate: number): number {
  const seen = hits / total;
  if (total === 0 || seen <= rate) {
    return 1;
  }
  const miss = seen < 1 ? (1 - seen) * Math.log((1 - seen) / (1 - rate)) : 0;
  return Math.exp(-total * (seen * Math.log(seen / rate) + miss));
}

function leastChance(routes: readonly RouteTally[]): number {
  const comparable = routes.filter(({ other }) =>
    sum(other.buckets) >= MIN_COMPARABLE
  );
  const kinds = [
    routes.map(failures),
    ...SLOW_PARTS.map((part) =>
      comparable.map((route) => slowness(route, part))
    ),
  ];
  return Math.min(
    1,
    ...kinds.flatMap((troubles) => [...troubles, merge(troubles)].map(chance)),
  );
}

function failures({ other, groups }: RouteTally): Trouble {
  const toCount = ({ failed, answered }: Tally): Count => ({
    hits: failed,
    total: answered,
  });
  return {
    rate: upperRate(toCount(other)),
    groups: mapValues(groups, toCount),
  };
}

/** Answers that take more than twice as long as all but a part of the old version's:
 * a version that is half as fast has as many of them as that part. */
function slowness({ other, groups }: RouteTally, part: number): Trouble {
  const first = firstBucketWithin(other.buckets, part);
  const countAbove = (bucket: number) => ({ buckets }: Tally): Count => ({
    hits: sum(buckets.slice(bucket + 1)),
    total: sum(buckets),
  });
  return {
    rate: upperRate(countAbove(first)(other)),
    groups: mapValues(groups, countAbove(first + SLOW_STEPS)),
  };
}

/** All troubles of one kind together, at their mean rate. */
function merge(troubles: readonly Trouble[]): Trouble {
  const groups = new Map<number, Count>();
  let expected = 0;
  let total = 0;
  for (const { rate, groups: added } of troubles) {
    for (const [group, count] of added) {
      groups.set(group, add([groups.get(group) ?? NOTHING, count]));
      expected += rate * count.total;
      total += count.total;
    }
  }
  return { rate: total === 0 ? BLIND_RATE : expected / total, groups };
}

/** Chance of what the groups show. The rest must show it too without the worst
 * groups, whose endpoints may be in trouble of their own; half as clearly, since it
 * is less. */
function chance({ rate, groups }: Trouble): number {
  const counts = [...groups.values()].filter(({ total }) => total > 0);
  const overall = tailBound(add(counts), rate);
  if (counts.length < 2 || overall >= DOUBT_CHANCE) {
    return overall;
  }
  const rest = counts
    .sort((a, b) => excess(b, rate) - excess(a, rate))
    .slice(Math.ceil(SPARED_PART * counts.length));
  return Math.max(overall, tailBound(add(rest), rate) ** 2);
}

function excess({ hits, total }: Count, rate: number): number {
  return hits - total * rate;
}

/** A rate of trouble that the old version hardly exceeds. */
function upperRate({ hits, total }: Count): number {
  const rate = (hits + 1 + 2 * Math.sqrt(hits + 1)) / (total + 2);
  return Math.min(
    0.99,
    Math.max(rate, total < MIN_COMPARABLE ? BLIND_RATE : MIN_RATE),
  );
}

function firstBucketWithin(buckets: readonly number[], part: number): number {
  const total = sum(buckets);
  let above = total;
  for (const [index, count] of buckets.entries()) {
    above -= count;
    if (above <= part * total) {
      return index;
    }
  }
  return buckets.length;
}

function mapValues(
  tallies: ReadonlyMap<number, Tally>,
  toCount: (tally: Tally) => Count,
): Map<number, Count> {
  return new Map(
    [...tallies].map(([group, tally]) => [group, toCount(tally)]),
  );
}

function add(counts: readonly Count[]): Count {
  return {
    hits: sum(counts.map(({ hits }) => hits)),
    total: sum(counts.map(({ total }) => total)),
  };
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
