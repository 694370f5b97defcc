import type { ConfigSnapshot } from "@limpetshed/config";
import type { EndpointDirectory, EndpointInfo } from "@limpetshed/membership";
import { rendezvousRank } from "@limpetshed/hashing";

/** Endpoints of a service that accept new requests, as known to this node. */
export interface Candidates {
  endpoints: readonly EndpointInfo[];
  /** Live endpoints exist, but none in a zone that accepts new requests. */
  allZonesOut: boolean;
}

/** Finds a service's endpoints in `region`, or everywhere if it has none there. */
export function findCandidates(
  { directory, config, service, region, exclude }: {
    directory: EndpointDirectory;
    config: ConfigSnapshot;
    service: string;
    region: string;
    exclude: ReadonlySet<string>;
  },
): Candidates {
  const live = directory.live(service);
  const inAcceptingZones = live.filter((info) =>
    config.isZoneIn(info.availabilityZone)
  );
  const eligible = inAcceptingZones.filter((info) => !exclude.has(info.id));
  const local = eligible.filter((info) => info.region === region);
  return {
    endpoints: local.length > 0 ? local : eligible,
    allZonesOut: live.length > 0 && inAcceptingZones.length === 0,
  };
}

/** Ranks endpoints for a key by rendezvous hashing, best first. */
export function rankEndpoints(
  key: bigint | string,
  endpoints: readonly EndpointInfo[],
): EndpointInfo[] {
  const byId = new Map(endpoints.map((info) => [info.id, info]));
  const keyText = typeof key === "bigint" ? key.toString(36) : key;
  return rendezvousRank(keyText, [...byId.keys()]).map((id) => byId.get(id)!);
}
