import { rendezvousRank } from "@limpetshed/hashing";
import type { Endpoint } from "./endpoint_registry.ts";

/** Ranks endpoints for `hashKey` by rendezvous hashing, best first. */
export function rankEndpoints(
  hashKey: string,
  endpoints: readonly Endpoint[],
): Endpoint[] {
  const byKey = new Map(endpoints.map((endpoint) => [endpoint.key, endpoint]));
  return rendezvousRank(hashKey, [...byKey.keys()]).map((key) =>
    byKey.get(key)!
  );
}
