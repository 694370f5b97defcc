/** What a node knows of its own path to the store: it is not asked by nodes
 * without the duty. */
export type StorePath = "open" | "lost" | "unknown";

/** A node that could have the duty. */
export interface DutyCandidate {
  id: string;
  availabilityZone: string;
  storePath: StorePath;
}

/** Nodes of a zone that watch the store. */
const WATCHERS_PER_ZONE = 1;
/** Nodes that watch at the least, so that one loss leaves another. */
const MIN_WATCHERS = 2;

/**
 * Chooses the nodes that watch the store for all, so that calls to it do not
 * grow with the fleet: of each zone the first by `rank` whose path to the
 * store is not lost. Nodes that see different peers choose differently; then
 * more nodes watch than needed, or some follow others for a moment longer.
 * Where every path is lost the first ones keep trying.
 */
export function chooseWatchers(
  candidates: readonly DutyCandidate[],
  rank: (ids: readonly string[]) => string[],
): string[] {
  const byId = new Map(candidates.map((node) => [node.id, node]));
  const ranked = rank([...byId.keys()]).map((id) => byId.get(id)!);
  const ordered = [
    ...ranked.filter(({ storePath }) => storePath !== "lost"),
    ...ranked.filter(({ storePath }) => storePath === "lost"),
  ];
  const perZone = new Map<string, number>();
  const chosen = ordered.filter(({ availabilityZone }) => {
    const count = (perZone.get(availabilityZone) ?? 0) + 1;
    perZone.set(availabilityZone, count);
    return count <= WATCHERS_PER_ZONE;
  });
  const further = ordered.filter((node) => !chosen.includes(node));
  const missing = Math.max(0, MIN_WATCHERS - chosen.length);
  return [...chosen, ...further.slice(0, missing)].map(({ id }) => id);
}
