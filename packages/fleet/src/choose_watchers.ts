/** A node's own view of its connectivity to the store: `open` if its last call
 * succeeded, `lost` for a cooldown after a failed call, otherwise `unknown`, as
 * on nodes that are not watchers and so do not poll the store. */
export type StoreConnectivity = "open" | "lost" | "unknown";

/** A node that can be chosen to watch the store. */
export interface WatcherCandidate {
  id: string;
  availabilityZone: string;
  storeConnectivity: StoreConnectivity;
}

/** Number of watchers chosen in each zone. */
const WATCHERS_PER_ZONE = 1;
/** Fleet-wide minimum, so that one watcher remains if another fails. */
const MIN_WATCHERS = 2;

/**
 * Chooses the nodes that watch the store on behalf of the fleet, so that calls
 * to it do not grow with the fleet: in each zone the first by `rank` whose
 * connectivity is not lost. Nodes that see different peers may choose
 * differently; until their views agree, more nodes watch than needed, or a node
 * keeps following peers although it should watch. If connectivity is lost
 * everywhere, the first by `rank` keep retrying.
 *
 * @param rank Orders node ids by preference, in the same way on every node.
 */
export function chooseWatchers(
  candidates: readonly WatcherCandidate[],
  rank: (ids: readonly string[]) => string[],
): string[] {
  return orderByPreference(candidates, rank).watchers;
}

/**
 * Orders the nodes by preference for writes to the store on behalf of the fleet:
 * the watchers, which are of different zones, then the others.
 *
 * @param rank Orders node ids by preference, in the same way on every node.
 */
export function rankWriters(
  candidates: readonly WatcherCandidate[],
  rank: (ids: readonly string[]) => string[],
): string[] {
  const { watchers, others } = orderByPreference(candidates, rank);
  return [...watchers, ...others];
}

function orderByPreference(
  candidates: readonly WatcherCandidate[],
  rank: (ids: readonly string[]) => string[],
): { watchers: string[]; others: string[] } {
  const byId = new Map(candidates.map((node) => [node.id, node]));
  const ranked = rank([...byId.keys()]).map((id) => byId.get(id)!);
  const byPreference = [
    ...ranked.filter(({ storeConnectivity }) => storeConnectivity !== "lost"),
    ...ranked.filter(({ storeConnectivity }) => storeConnectivity === "lost"),
  ];
  const countByZone = new Map<string, number>();
  const firstOfZones: string[] = [];
  const others: string[] = [];
  for (const { id, availabilityZone } of byPreference) {
    const count = (countByZone.get(availabilityZone) ?? 0) + 1;
    countByZone.set(availabilityZone, count);
    (count <= WATCHERS_PER_ZONE ? firstOfZones : others).push(id);
  }
  const missing = Math.max(0, MIN_WATCHERS - firstOfZones.length);
  return {
    watchers: [...firstOfZones, ...others.slice(0, missing)],
    others: others.slice(missing),
  };
}
