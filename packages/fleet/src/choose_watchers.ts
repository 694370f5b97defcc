/** A node's own view of its connectivity to the store; `unknown` if it has not
 * called the store lately, as on nodes that are not watchers. */
export type StoreConnectivity = "open" | "lost" | "unknown";

/** A node that can be chosen to watch the store. */
export interface WatcherCandidate {
  id: string;
  availabilityZone: string;
  storeConnectivity: StoreConnectivity;
}

/** Nodes of a zone that watch the store. */
const WATCHERS_PER_ZONE = 1;
/** Fleet-wide minimum, so that one watcher remains if another fails. */
const MIN_WATCHERS = 2;

/**
 * Chooses the nodes that watch the store for all, so that calls to it do not
 * grow with the fleet: in each zone the first by `rank` whose connectivity is
 * not lost. Nodes that see different peers may choose differently; then
 * more nodes watch than needed, or some follow others for a moment longer.
 * If connectivity is lost everywhere, the first by `rank` keep retrying.
 */
export function chooseWatchers(
  candidates: readonly WatcherCandidate[],
  rank: (ids: readonly string[]) => string[],
): string[] {
  const byId = new Map(candidates.map((node) => [node.id, node]));
  const ranked = rank([...byId.keys()]).map((id) => byId.get(id)!);
  const ordered = [
    ...ranked.filter(({ storeConnectivity }) => storeConnectivity !== "lost"),
    ...ranked.filter(({ storeConnectivity }) => storeConnectivity === "lost"),
  ];
  const perZone = new Map<string, number>();
  const chosen = ordered.filter(({ availabilityZone }) => {
    const count = (perZone.get(availabilityZone) ?? 0) + 1;
    perZone.set(availabilityZone, count);
    return count <= WATCHERS_PER_ZONE;
  });
  const others = ordered.filter((node) => !chosen.includes(node));
  const missing = Math.max(0, MIN_WATCHERS - chosen.length);
  return [...chosen, ...others.slice(0, missing)].map(({ id }) => id);
}
