import { rendezvousRank } from "@limpetshed/hashing";
import type { Endpoint } from "./endpoint_registry.ts";

/** Ranks endpoints for a hash key by rendezvous hashing, best first. */
export function rankEndpoints(
  key: string,
  endpoints: readonly Endpoint[],
): Endpoint[] {
  const byKey = new Map(endpoints.map((endpoint) => [endpoint.key, endpoint]));
  return rendezvousRank(key, [...byKey.keys()]).map((id) => byKey.get(id)!);
}
