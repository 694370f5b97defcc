import { type Clock, HttpService } from "@limpetshed/base";
import type { KeyMirror } from "@limpetshed/mirror";
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

/** Serves shared state and placements to nodes that are behind or starting. */
export class PeerServer extends HttpService {
  constructor({ clock, mirror, placements, tunnels }: {
    clock: Clock;
    mirror: KeyMirror;
    /** Takes tunnels of other nodes; none are taken if undefined. */
    tunnels?: TunnelServer;
    /** Returns alternating ids of prompt parts and keys of endpoints that have
     * them cached. */
    placements: () => readonly string[];
  }) {
    const encoder = new UpdateEncoder({ mirror });
    const router = createRouter();
    router.get(
      CHANGES_PATH,
      defineEventHandler(async (event) => {
        const after = Number(getQuery(event).after ?? 0);
        if (!Number.isSafeInteger(after) || after < 0) {
          throw createError({ statusCode: 400 });
        }
        if (mirror.asOf <= after) {
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

/** Waits for an update, at most for the long-poll timeout. */
async function waitForUpdate(mirror: KeyMirror, clock: Clock): Promise<void> {
  const timeout = new AbortController();
  const timer = clock.setTimer(CHANGES_LONG_POLL_MS, () => timeout.abort());
  await mirror.waitForUpdate(timeout.signal);
  timer.cancel();
}
