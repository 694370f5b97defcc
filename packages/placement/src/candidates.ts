import type { ConfigSnapshot } from "@limpetshed/config";
import type { EndpointDirectory, EndpointInfo } from "@limpetshed/membership";
import { rendezvousRank } from "@limpetshed/hashing";

/** Endpoints that may run a service's work now, as far as is known here. */
export interface Candidates {
  endpoints: readonly EndpointInfo[];
  /** Live endpoints exist, but only in zones that are out. */
  allZonesOut: boolean;
}

/** Finds the endpoints of a service: those of `region` first. */
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
  const inOpenZones = live.filter((info) =>
    config.isZoneIn(info.availabilityZone)
  );
  const eligible = inOpenZones.filter((info) => !exclude.has(info.id));
  const local = eligible.filter((info) => info.region === region);
  return {
    endpoints: local.length > 0 ? local : eligible,
    allZonesOut: live.length > 0 && inOpenZones.length === 0,
  };
}

/** Ranks endpoints for a key, best first. */
export function rankEndpoints(
  key: bigint | string,
  endpoints: readonly EndpointInfo[],
): EndpointInfo[] {
  const byId = new Map(endpoints.map((info) => [info.id, info]));
  const keyText = typeof key === "bigint" ? key.toString(36) : key;
  return rendezvousRank(keyText, [...byId.keys()]).map((id) => byId.get(id)!);
}
