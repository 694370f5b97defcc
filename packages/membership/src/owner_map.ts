import { rendezvousFirst, rendezvousRank } from "@limpetshed/hashing";
import type { Membership } from "./membership.ts";

/** Ids of the nodes responsible for an endpoint or a budget. */
export interface Owners {
  /** Undefined when the region has no eligible node. */
  owner: string | undefined;
  /** Next owner if the owner is no longer eligible. */
  standby: string | undefined;
}

const NO_OWNERS: Owners = { owner: undefined, standby: undefined };

/**
 * Assigns keys to nodes by rendezvous hashing over the eligible nodes of a
 * region, so that a node that joins or leaves moves only its own keys.
 */
export class OwnerMap {
  readonly #membership: Membership;
  readonly #ownersByKey = new Map<string, Owners>();
  readonly #eligibleNodeIds = new Map<string, readonly string[]>();
  #cachedViewVersion = -1;

  constructor({ membership }: { membership: Membership }) {
    this.#membership = membership;
  }

  /** Returns the owner and standby of a key; cached until a node changes. */
  lookupOwners(region: string, key: string): Owners {
    this.#clearStaleCache();
    const cacheKey = `${region}\u0000${key}`;
    const cached = this.#ownersByKey.get(cacheKey);
    if (cached !== undefined) {
      return cached;
    }
    const ranked = rendezvousRank(key, this.eligibleNodeIds(region));
    const owners = ranked.length === 0
      ? NO_OWNERS
      : { owner: ranked[0], standby: ranked[1] };
    this.#ownersByKey.set(cacheKey, owners);
    return owners;
  }

  /** Returns the owner of a key uncached, for large key spaces. */
  lookupOwnerUncached(region: string, key: string): string | undefined {
    return rendezvousFirst(key, this.eligibleNodeIds(region));
  }

  /** Returns a region's eligible nodes; cached until a node changes. */
  eligibleNodeIds(region: string): readonly string[] {
    this.#clearStaleCache();
    let ids = this.#eligibleNodeIds.get(region);
    if (ids === undefined) {
      ids = this.#membership.eligibleNodeIds(region);
      this.#eligibleNodeIds.set(region, ids);
    }
    return ids;
  }

  /** Whether this node owns the key. */
  isOwner(region: string, key: string): boolean {
    return this.lookupOwners(region, key).owner === this.#membership.self.id;
  }

  #clearStaleCache(): void {
    if (this.#cachedViewVersion !== this.#membership.viewVersion) {
      this.#ownersByKey.clear();
      this.#eligibleNodeIds.clear();
      this.#cachedViewVersion = this.#membership.viewVersion;
    }
  }
}
