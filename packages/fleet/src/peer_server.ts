import { type Clock, HttpService } from "@limpetshed/base";
import {
  comparePositions,
  isEra,
  type KeyMirror,
  type StorePosition,
} from "@limpetshed/mirror";
import {
  createApp,
  createError,
  createRouter,
  defineEventHandler,
  getQuery,
  getRequestHeader,
  setResponseHeader,
  toNodeListener,
} from "h3";
import type { TunnelServer } from "./tunnel_server.ts";
import { UpdateEncoder } from "./update_encoder.ts";

/** HTTP path of shared-state changes. */
export const CHANGES_PATH = "/changes";

/** Header with the time since the store confirmed the sender's state as current,
 * in whole milliseconds. */
export const STATE_AGE_HEADER = "limpetshed-state-age-ms";

/** Content encoding of large responses to callers that accept it. */
export const GZIP = "gzip";

/** Long-poll timeout for callers that are up to date, milliseconds. */
export const CHANGES_LONG_POLL_MS = 700;

/** HTTP path of placements. */
export const PLACEMENTS_PATH = "/placements";

/** HTTP path at which a node tells whether a tunnel that it gave was ended by its
 * endpoint. */
export const TUNNEL_END_PATH = "/tunnel-end";

/** HTTP path of the newest configuration that a node knows. */
export const CONFIG_PATH = "/config";

/** Serves shared state and placements to nodes that are behind or starting. */
export class PeerServer extends HttpService {
  constructor({ clock, mirror, placements, configNewerThan, tunnels }: {
    clock: Clock;
    mirror: KeyMirror;
    /** Takes tunnels of other nodes; none are taken if undefined. */
    tunnels?: TunnelServer;
    /** Returns alternating ids of prompt parts and keys of endpoints that have
     * them cached. */
    placements: () => readonly string[];
    /** Returns the newest configuration, as it is stored, if it is newer than a
     * version. */
    configNewerThan?: (version: number) => { text: string } | undefined;
  }) {
    const encoder = new UpdateEncoder({ mirror });
    const router = createRouter();
    router.get(
      CHANGES_PATH,
      defineEventHandler(async (event) => {
        const after = parsePosition(getQuery(event), mirror);
        if (after === undefined) {
          throw createError({ statusCode: 400 });
        }
        if (comparePositions(mirror.position, after) <= 0) {
          await waitForUpdate(mirror, clock);
        }
        // This node has not read any state yet.
        if (mirror.asOf === 0) {
          throw createError({ statusCode: 503 });
        }
        const ageMs = clock.monotonicMs() - mirror.confirmedMs;
        if (Number.isFinite(ageMs)) {
          setResponseHeader(event, STATE_AGE_HEADER, Math.ceil(ageMs));
        }
        const { identity, gzip } = encoder.encodeChangesAfter(after);
        setResponseHeader(event, "content-type", "application/json");
        const acceptsGzip = getRequestHeader(event, "accept-encoding")
          ?.includes(GZIP) ?? false;
        if (gzip === undefined || !acceptsGzip) {
          return identity;
        }
        setResponseHeader(event, "content-encoding", GZIP);
        return gzip;
      }),
    );
    router.get(PLACEMENTS_PATH, defineEventHandler(() => placements()));
    router.get(
      CONFIG_PATH,
      defineEventHandler((event) => {
        const version = Number(getQuery(event).after ?? 0);
        return configNewerThan?.(version) ?? {};
      }),
    );
    router.get(
      TUNNEL_END_PATH,
      defineEventHandler((event) => ({
        hasEnded:
          tunnels?.hasEnded(getQuery<{ id?: string }>(event).id ?? "") ??
            false,
      })),
    );
    const app = createApp();
    app.use(router);
    super(toNodeListener(app));
    if (tunnels !== undefined) {
      this.onConnect((req, socket, head) =>
        void tunnels.handle(req, socket, head)
      );
    }
  }
}

/** Returns the position in a query; undefined if it is not valid. Nodes of earlier
 * releases name no era and compare revisions only. */
function parsePosition(
  { after = 0, era }: Record<string, unknown>,
  mirror: KeyMirror,
): StorePosition | undefined {
  const position = {
    era: era === undefined ? mirror.era : Number(era),
    revision: Number(after),
  };
  return isEra(position.era) && Number.isSafeInteger(position.revision) &&
      position.revision >= 0
    ? position
    : undefined;
}

/** Waits for an update, at most for the long-poll timeout. */
async function waitForUpdate(mirror: KeyMirror, clock: Clock): Promise<void> {
  const timeout = new AbortController();
  const timer = clock.setTimer(CHANGES_LONG_POLL_MS, () => timeout.abort());
  await mirror.waitForUpdate(timeout.signal);
  timer.cancel();
}
