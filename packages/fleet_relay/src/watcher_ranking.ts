import { rendezvousRank } from "@limpetshed/hashing";

const WATCHER_KEY = "watch";

/**
 * Order in which nodes are preferred as watchers of the store. It depends only on
 * the ids of all nodes, so it is worked out once for each change of them, and not
 * for each look at who is live, of which a node takes dozens a second.
 */
export class WatcherRanking {
  readonly #nodeIds: () => readonly string[];
  #rankedFrom: readonly string[] = [];
  #ranked: readonly string[] = [];

  /** `nodeIds` returns the ids of all nodes, as a new array after each change. */
  constructor({ nodeIds }: { nodeIds: () => readonly string[] }) {
    this.#nodeIds = nodeIds;
  }

  /** All nodes, best first; the same array until the nodes change. */
  get all(): readonly string[] {
    const ids = this.#nodeIds();
    if (ids !== this.#rankedFrom) {
      this.#rankedFrom = ids;
      this.#ranked = rendezvousRank(WATCHER_KEY, ids);
    }
    return this.#ranked;
  }

  /** Orders some of the nodes, best first. */
  rank(ids: readonly string[]): string[] {
    const wanted = new Set(ids);
    return this.all.filter((id) => wanted.has(id));
  }
}
