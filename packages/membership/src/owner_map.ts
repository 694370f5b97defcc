import { rendezvousFirst, rendezvousRank } from "@limpetshed/hashing";
import type { Membership } from "./membership.ts";

/** Who answers for an endpoint or a budget. */
export interface Owners {
  /** Undefined when the region has no eligible node. */
  owner: string | undefined;
  standby: string | undefined;
}

const NONE: Owners = { owner: undefined, standby: undefined };

/**
 * Assigns things to nodes by rendezvous hashing over the eligible nodes of a
 * region, so that a node's coming or going moves only its own part.
 */
export class OwnerMap {
  readonly #membership: Membership;
  readonly #cache = new Map<string, Owners>();
  readonly #eligible = new Map<string, readonly string[]>();
  #viewNumber = -1;

  constructor({ membership }: { membership: Membership }) {
    this.#membership = membership;
  }

  /** Owner and standby of `key` in `region`; remembered per view. */
  owners(region: string, key: string): Owners {
    this.#checkView();
    const cacheKey = `${region}\u0000${key}`;
    const cached = this.#cache.get(cacheKey);
    if (cached !== undefined) {
      return cached;
    }
    const ranked = rendezvousRank(key, this.eligible(region));
    const owners = ranked.length === 0
      ? NONE
      : { owner: ranked[0], standby: ranked[1] };
    this.#cache.set(cacheKey, owners);
    return owners;
  }

  /** Owner of one of very many keys; nothing is remembered. */
  ownerOf(region: string, key: string): string | undefined {
    return rendezvousFirst(key, this.eligible(region));
  }

  /** Eligible nodes of a region; remembered per view. */
  eligible(region: string): readonly string[] {
    this.#checkView();
    let ids = this.#eligible.get(region);
    if (ids === undefined) {
      ids = this.#membership.eligible(region);
      this.#eligible.set(region, ids);
    }
    return ids;
  }

  /** Whether this node is the owner. */
  isOwner(region: string, key: string): boolean {
    return this.owners(region, key).owner === this.#membership.self.id;
  }

  #checkView(): void {
    if (this.#viewNumber !== this.#membership.viewNumber) {
      this.#cache.clear();
      this.#eligible.clear();
      this.#viewNumber = this.#membership.viewNumber;
    }
  }
}
