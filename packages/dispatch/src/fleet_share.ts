import { hash64 } from "@limpetshed/hashing";

/** The part of a fleet-wide limit that one node may use without asking others.
 * The parts of all nodes add up to the limit. */
export interface FleetShare {
  /** Fraction of the rate. */
  rateFraction: number;
  /** Requests at once; 0 or at least 1. */
  burst: number;
}

/** Options of {@linkcode fleetShare}. */
export interface FleetShareOptions {
  /** What is limited; each key gives other nodes the advantage. */
  key: string;
  /** Requests at once of the whole fleet. */
  requests: number;
  nodeId: string;
  /** Ids of all nodes that may exist; a new array after each change. */
  nodeIds: readonly string[];
}

const LOW_32_BITS = 0xffff_ffffn;

const hashesByIds = new WeakMap<readonly string[], Uint32Array>();

/** Returns this node's share. If there are more nodes than requests, some nodes
 * have one each and the others none. */
export function fleetShare(
  { key, requests, nodeId, nodeIds }: FleetShareOptions,
): FleetShare {
  const nodeCount = Math.max(1, nodeIds.length);
  if (nodeCount <= requests) {
    return { rateFraction: 1 / nodeCount, burst: requests / nodeCount };
  }
  const holders = Math.floor(requests);
  return nodeRank(key, { nodeId, nodeIds }) < holders
    ? { rateFraction: 1 / holders, burst: 1 }
    : { rateFraction: 0, burst: 0 };
}

/** Position of a node in the order that rendezvous hashing gives the nodes for
 * `key`; 0 is the first. */
export function nodeRank(
  key: string,
  { nodeId, nodeIds }: { nodeId: string; nodeIds: readonly string[] },
): number {
  const keyHash = hash32(key);
  const ownWeight = mix(keyHash ^ hash32(nodeId));
  let rank = 0;
  for (const hash of idHashes(nodeIds)) {
    if (mix(keyHash ^ hash) < ownWeight) {
      rank += 1;
    }
  }
  return rank;
}

function idHashes(nodeIds: readonly string[]): Uint32Array {
  let hashes = hashesByIds.get(nodeIds);
  if (hashes === undefined) {
    hashes = Uint32Array.from(nodeIds, hash32);
    hashesByIds.set(nodeIds, hashes);
  }
  return hashes;
}

function hash32(text: string): number {
  return Number(hash64(text) & LOW_32_BITS);
}

/** Finalizer of MurmurHash3, which spreads the bits of a 32-bit number. */
function mix(value: number): number {
  let hash = value;
  hash = Math.imul(hash ^ hash >>> 16, 0x85ebca6b);
  hash = Math.imul(hash ^ hash >>> 13, 0xc2b2ae35);
  return (hash ^ hash >>> 16) >>> 0;
}
