import { type Clock, sleep } from "@limpetshed/base";
import type { Logger } from "@limpetshed/observe";
import type { GracefulShutdown } from "./graceful_shutdown.ts";
import type { RelayServer } from "./relay_server.ts";

/** Options of {@linkcode drainServer}. */
export interface DrainServerOptions {
  clock: Clock;
  logger: Logger;
  server: Pick<
    RelayServer,
    "pendingCount" | "closeIdle" | "abortRequests"
  >;
  shutdown: GracefulShutdown;
  graceMs: number;
}

const DRAIN_POLL_INTERVAL_MS = 50;
const FLUSH_POLL_INTERVAL_MS = 5;

/** Lets the requests of a server finish within the grace period. Those that do not
 * are answered with errors, unless their responses have begun: a client whose
 * connection just closes cannot tell whether the request ran. */
export async function drainServer(
  { clock, logger, server, shutdown, graceMs }: DrainServerOptions,
): Promise<void> {
  const startedMs = clock.monotonicMs();
  shutdown.begin(graceMs);
  const event = "stop";
  const pending = server.pendingCount;
  logger.info({ event, outcome: "draining", pending, graceMs });
  await sleep(clock, shutdown.acceptAllMs);
  server.closeIdle();
  while (server.pendingCount > 0 && shutdown.leftMs > 0) {
    await sleep(clock, DRAIN_POLL_INTERVAL_MS);
    server.closeIdle();
  }
  const cutOff = server.pendingCount;
  server.abortRequests();
  while (server.pendingCount > 0 && shutdown.flushLeftMs > 0) {
    await sleep(clock, FLUSH_POLL_INTERVAL_MS);
  }
  logger.info({
    event,
    outcome: cutOff === 0 ? "finished" : "cut_off",
    cutOff,
    unanswered: server.pendingCount,
    tookMs: Math.round(clock.monotonicMs() - startedMs),
  });
}
