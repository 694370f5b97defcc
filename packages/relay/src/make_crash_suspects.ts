import type { Clock } from "@limpetshed/base";
import { CrashSuspects } from "@limpetshed/dispatch";
import type { Logger } from "@limpetshed/observe";

/** Makes the crash suspects of a node, which log what they find. */
export function makeCrashSuspects(
  { clock, logger, nodeId, nodeIds }: {
    clock: Clock;
    logger: Logger;
    nodeId: string;
    nodeIds: () => readonly string[];
  },
): CrashSuspects {
  const event = "crash_suspect";
  return new CrashSuspects({
    clock,
    nodeId,
    nodeIds,
    onRefused: (suspect) =>
      logger.warn({ event, outcome: "refused", ...suspect }),
    onCleared: (trait) => logger.warn({ event, outcome: "cleared", trait }),
    onCrash: (endpoint, lost) =>
      logger.warn({
        event: "endpoint_crash",
        endpoint,
        lostResponses: lost.length,
      }),
    onDropped: (dropped) =>
      logger.warn({ event: "crash_evidence_dropped", ...dropped }),
  });
}
