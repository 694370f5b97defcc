import { type Clock, HttpService } from "@limpetshed/base";
import type { KeyMirror } from "@limpetshed/mirror";
import {
  createApp,
  createError,
  createRouter,
  defineEventHandler,
  getQuery,
  toNodeListener,
} from "h3";

/** Path of the shared state. */
export const CHANGES_PATH = "/changes";

/** How long a caller that is up to date waits for news, milliseconds. */
export const CHANGES_WAIT_MS = 700;

/** Path of the placements. */
export const PLACEMENTS_PATH = "/placements";

/** Answers other nodes that are behind or have just started. */
export class PeerServer extends HttpService {
  constructor({ clock, mirror, placements }: {
    clock: Clock;
    mirror: KeyMirror;
    /** Parts of prompts and the endpoints that hold them, in turn. */
    placements: () => readonly string[];
  }) {
    const router = createRouter();
    router.get(
      CHANGES_PATH,
      defineEventHandler(async (event) => {
        const after = Number(getQuery(event).after ?? 0);
        if (!Number.isSafeInteger(after) || after < 0) {
          throw createError({ statusCode: 400 });
        }
        if (mirror.asOf <= after) {
          await nextUpdate(mirror, clock);
        }
        if (mirror.asOf === 0) {
          throw createError({ statusCode: 503 });
        }
        return mirror.changesAfter(after);
      }),
    );
    router.get(PLACEMENTS_PATH, defineEventHandler(() => placements()));
    const app = createApp();
    app.use(router);
    super(toNodeListener(app));
  }
}

/** Waits for news, not longer than callers do. */
async function nextUpdate(mirror: KeyMirror, clock: Clock): Promise<void> {
  const over = new AbortController();
  const timer = clock.setTimer(CHANGES_WAIT_MS, () => over.abort());
  await mirror.waitForUpdate(over.signal);
  timer.cancel();
}
