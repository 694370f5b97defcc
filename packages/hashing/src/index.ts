/** Hash functions, rendezvous hashing and seeded random numbers. */
export { hash64, initHashing, sha256Hex } from "./hash64.ts";
export { rendezvousFirst, rendezvousRank } from "./rendezvous.ts";
export { Rng } from "./rng.ts";
