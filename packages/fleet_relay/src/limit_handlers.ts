import type { EndpointLimiter, LimitReport } from "@limpetshed/dispatch";
import type { LimitEntry, LimitHandlers } from "@limpetshed/fleet";

/** Connects the limiter of a node to the exchange with other nodes. */
export function makeLimitHandlers(limiter: EndpointLimiter): LimitHandlers {
  const { limits, loans } = limiter;
  return {
    takeChanges: (max) => {
      const makeReports = limits.takeReports(max);
      return () => makeReports().map(toEntry);
    },
    repeated: () => limits.repeatedReports().map(toEntry),
    needs: () =>
      limiter.needs().map(({ endpoint, shareCount, waitedMs }) => [
        endpoint,
        shareCount,
        Math.round(waitedMs),
      ]),
    nextLoans: () =>
      new Map(
        [...limiter.nextLoans()].map(([borrower, given]) => [
          borrower,
          given.map(({ endpoint, rateFraction, burst }) => [
            endpoint,
            rateFraction,
            burst,
          ]),
        ]),
      ),
    onLimits: (entries) => limits.applyPeerReports(entries.map(fromEntry)),
    onNeeds: (nodeId, entries) =>
      loans.applyPeerNeeds(
        nodeId,
        entries.map(([endpoint, shareCount, waitedMs]) => ({
          endpoint,
          shareCount,
          waitedMs,
        })),
      ),
    onLoans: (nodeId, entries) =>
      loans.applyLoans(
        nodeId,
        entries.map(([endpoint, rateFraction, burst]) => ({
          endpoint,
          rateFraction,
          burst,
        })),
      ),
  };
}

function toEntry(
  { endpoint, requestsPerS, heardAgeMs, sentAgeMs }: LimitReport,
): LimitEntry {
  return [endpoint, requestsPerS ?? null, heardAgeMs, sentAgeMs];
}

function fromEntry(
  [endpoint, requestsPerS, heardAgeMs, sentAgeMs]: LimitEntry,
): LimitReport {
  return {
    endpoint,
    requestsPerS: requestsPerS ?? undefined,
    heardAgeMs,
    sentAgeMs,
  };
}
