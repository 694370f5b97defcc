import type { AdmissionClient } from "@limpetshed/admission";
import { type Clock, repeat } from "@limpetshed/base";
import type { ConfigSnapshot } from "@limpetshed/config";
import type { EndpointClient } from "@limpetshed/endpoint";
import type { EndpointDirectory, Membership } from "@limpetshed/membership";
import type { Metrics } from "@limpetshed/observe";
import {
  BoundedLocalPlacement,
  type ChatDirectory,
  OwnerPlacement,
  type PlacementPolicy,
  RendezvousPlacement,
  TwoChoicesPlacement,
} from "@limpetshed/placement";
import type { Settings } from "@limpetshed/settings";

/** Dependencies of the placement policies. */
export interface MakePlacementOptions {
  clock: Clock;
  metrics: Metrics;
  membership: Membership;
  directory: EndpointDirectory;
  chats: ChatDirectory;
  admissions: AdmissionClient;
  client: EndpointClient;
  config: () => ConfigSnapshot;
}

const LOAD_POLL_INTERVAL_MS = 1_000;

/** Makes the placement policy named in the settings. */
export function makePlacement(
  policy: Settings["routing"]["policy"],
  options: MakePlacementOptions,
): PlacementPolicy {
  switch (policy) {
    case "owner":
      return new OwnerPlacement(options);
    case "rendezvous":
      return new RendezvousPlacement(options);
    case "bounded_local":
      return new BoundedLocalPlacement(options);
    case "two_choices": {
      const loads = pollLoads(options);
      return new TwoChoicesPlacement({
        ...options,
        reportedLoad: (id) => loads.get(id) ?? 0,
      });
    }
  }
}

/** Polls the load of every endpoint; only the two-choices baseline needs it. */
function pollLoads(
  { clock, directory, client }: MakePlacementOptions,
): ReadonlyMap<string, number> {
  const loads = new Map<string, number>();
  repeat(clock, async () => {
    await Promise.all(
      directory.all().map(async (info) => {
        const report = await client.fetchLoadReport(info, {
          eventsAfter: Number.MAX_SAFE_INTEGER,
          timeoutMs: LOAD_POLL_INTERVAL_MS,
        });
        loads.set(info.id, report.inFlight);
      }),
    );
  }, { intervalMs: LOAD_POLL_INTERVAL_MS, onError: () => undefined });
  return loads;
}
